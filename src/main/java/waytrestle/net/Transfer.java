package waytrestle.net;

import java.io.IOException;

/**
 * What one read or write on a socket came to. Bytes that the kernel has taken or given are counted
 * in {@link Status#PROGRESS} alone, so that no failure ever counts as bytes.
 *
 * @param bytes transferred; 0 without progress
 * @param error what failed, null where nothing did
 */
record Transfer(Status status, long bytes, IOException error) {
    /** How the call ended. */
    enum Status {
        /** Some bytes were transferred, perhaps fewer than wanted. */
        PROGRESS,
        /** The kernel has nothing to give, or no room, at the moment. */
        WOULD_BLOCK,
        /**
         * The call failed and transferred nothing. Whether the connection is broken is not known: a
         * broken one says so when the call is made again.
         */
        FAILED,
        /** The peer has ended its side. */
        ENDED,
        /** The connection is broken for good. */
        BROKEN
    }

    static final Transfer WOULD_BLOCK = new Transfer(Status.WOULD_BLOCK, 0, null);
    static final Transfer ENDED = new Transfer(Status.ENDED, 0, null);

    static Transfer progress(long bytes) {
        return new Transfer(Status.PROGRESS, bytes, null);
    }

    static Transfer failed(IOException error) {
        return new Transfer(Status.FAILED, 0, error);
    }

    static Transfer broken(IOException error) {
        return new Transfer(Status.BROKEN, 0, error);
    }

    boolean hasProgressed() {
        return status == Status.PROGRESS;
    }
}
