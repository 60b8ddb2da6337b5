package waytrestle.net;

/**
 * Which side of a connection the peer is, and for how long reads and writes on the connection are
 * tried again while they fail.
 */
enum PeerRole {
    /**
     * The peer has connected to this process. It can receive its response on this connection only,
     * so the retry timeout of 2 s is far above a momentary lack of memory or buffers. With the
     * usual deadlines it is below the shortest time between SIGTERM and SIGKILL.
     */
    CLIENT("client", 2_000_000, 2_000_000),

    /**
     * This process has connected to the peer. Reads are retried for 250 ms: the request that was
     * sent may be running, and waiting for its response costs nothing but the request's time.
     * Writes are retried for 60 ms, about six tries: a request that cannot be written is better
     * sent on another connection.
     */
    SERVER("server", 250_000, 60_000);

    private final String label;
    private final long readRetryTimeoutMicros;
    private final long writeRetryTimeoutMicros;

    PeerRole(String label, long readRetryTimeoutMicros, long writeRetryTimeoutMicros) {
        this.label = label;
        this.readRetryTimeoutMicros = readRetryTimeoutMicros;
        this.writeRetryTimeoutMicros = writeRetryTimeoutMicros;
    }

    /** Returns the name under which faults of an operation on such a connection are counted. */
    String faultOperation(String operation) {
        return label + "." + operation;
    }

    /** Returns a timer that calls {@code resume} to try a failed read again. */
    RetryTimer newReadRetry(Loop loop, Runnable resume) {
        return new RetryTimer(loop, faultOperation("read"), readRetryTimeoutMicros, resume);
    }

    /** Returns a timer that calls {@code resume} to try a failed write again. */
    RetryTimer newWriteRetry(Loop loop, Runnable resume) {
        return new RetryTimer(loop, faultOperation("write"), writeRetryTimeoutMicros, resume);
    }
}
