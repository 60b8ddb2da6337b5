package waytrestle.faults;

/**
 * Which system calls fail and how.
 *
 * @param permille chance of a matching call to fail
 * @param skip matching calls that pass first
 * @param count failures at most; {@link #UNLIMITED} for any number
 * @param lastsMillis for how long a descriptor goes on failing once it has; {@link #UNTIL_CLOSED}
 *     for good
 * @param performs bytes of a short transfer; for other calls not 0 if the call is made all the same
 * @param port remote port of a connection that the process has opened, 0 for any, negative for any
 *     other than that
 */
public record FaultRule(
        SystemCall call,
        DescriptorKind kind,
        Errno error,
        int permille,
        int skip,
        int count,
        int lastsMillis,
        int performs,
        int port) {
    /** In place of a number of failures. */
    public static final int UNLIMITED = -1;

    /** In place of a time: a descriptor that has failed once never works again. */
    public static final int UNTIL_CLOSED = -1;

    /** In place of a chance: every matching call fails. */
    public static final int ALWAYS = 1_000;

    /** One failure, at the next matching call. */
    public static FaultRule once(SystemCall call, DescriptorKind kind, Errno error) {
        return new FaultRule(call, kind, error, ALWAYS, 0, 1, 0, 0, 0);
    }

    /** Failures by chance, without limit. */
    public static FaultRule random(
            SystemCall call, DescriptorKind kind, Errno error, int permille) {
        return new FaultRule(call, kind, error, permille, 0, UNLIMITED, 0, 0, 0);
    }

    /** The same, for so many failures at most. */
    public FaultRule times(int most) {
        return new FaultRule(call, kind, error, permille, skip, most, lastsMillis, performs, port);
    }

    /** The same, after so many matching calls have passed. */
    public FaultRule after(int calls) {
        return new FaultRule(
                call, kind, error, permille, calls, count, lastsMillis, performs, port);
    }

    /** The same, with descriptors that go on failing. */
    public FaultRule lasting(int millis) {
        return new FaultRule(call, kind, error, permille, skip, count, millis, performs, port);
    }

    /** The same, making the call all the same; for short transfers the bytes that pass. */
    public FaultRule performing(int bytes) {
        return new FaultRule(call, kind, error, permille, skip, count, lastsMillis, bytes, port);
    }

    /** The same, on connections to this port alone; to any other where it is negative. */
    public FaultRule to(int remotePort) {
        return new FaultRule(
                call, kind, error, permille, skip, count, lastsMillis, performs, remotePort);
    }

    @Override
    public String toString() {
        String lasts = lastsMillis == 0 ? "" : " lasting " + lastsMillis + " ms";
        String toPort = port == 0 ? "" : " to " + port;
        return call
                + " "
                + kind
                + " "
                + error
                + " "
                + permille
                + "/1000 after "
                + skip
                + " times "
                + count
                + lasts
                + toPort
                + (performs == 0 ? "" : " performing " + performs);
    }
}
