package waytrestle.http;

/**
 * Limits the total number of bytes that incomplete messages on many connections hold. At the limit
 * only a connection that would hold more than an equal share of the limit is refused more bytes.
 * Guards against a few endless messages that fill the limit and make the many small ones fail.
 *
 * <p>Not thread-safe.
 */
public final class FairByteLimit {
    private final long maxBytes;
    private long usedBytes;
    private int connectionsWithBytes;

    /** Creates a limit with no bytes reserved. */
    public FairByteLimit(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Reserves further bytes for one connection.
     *
     * @param alreadyReserved bytes that the connection has reserved before
     * @param additional bytes to reserve now
     * @return false if the bytes are not reserved and the connection's message must be given up
     */
    public boolean tryReserve(long alreadyReserved, long additional) {
        if (usedBytes + additional > maxBytes
                && alreadyReserved + additional > maxBytes / Math.max(1, connectionsWithBytes)) {
            return false;
        }
        usedBytes += additional;
        connectionsWithBytes += alreadyReserved == 0 ? 1 : 0;
        return true;
    }

    /** Releases all bytes that one connection has reserved. */
    public void release(long reserved) {
        usedBytes -= reserved;
        connectionsWithBytes -= reserved > 0 ? 1 : 0;
    }

    /** Returns the number of bytes reserved by all connections together. */
    public long usedBytes() {
        return usedBytes;
    }
}
