package waytrestle.net;

/** Who is at the other end of a connection, and how long its transfers may go on failing. */
enum PeerRole {
    /**
     * It has connected to this process. A client has no other way to its response, so the patience
     * is far above a moment's lack of memory or buffers; it is below the least time between SIGTERM
     * and SIGKILL with the usual deadlines.
     */
    CLIENT("client", 2_000_000, 2_000_000),

    /**
     * This process has connected to it. What has been sent may run, so waiting to read costs
     * nothing but the request's time; while a request cannot be written, it is better sent on
     * another connection, after half a dozen tries.
     */
    SERVER("server", 250_000, 60_000);

    private final String label;
    private final long readPatienceMicros;
    private final long writePatienceMicros;

    PeerRole(String label, long readPatienceMicros, long writePatienceMicros) {
        this.label = label;
        this.readPatienceMicros = readPatienceMicros;
        this.writePatienceMicros = writePatienceMicros;
    }

    /** The name that faults of an operation are counted by. */
    String faultOperation(String name) {
        return label + "." + name;
    }

    RetryTimer newReadRetry(Loop loop, Runnable resume) {
        return new RetryTimer(loop, faultOperation("read"), readPatienceMicros, resume);
    }

    RetryTimer newWriteRetry(Loop loop, Runnable resume) {
        return new RetryTimer(loop, faultOperation("write"), writePatienceMicros, resume);
    }
}
