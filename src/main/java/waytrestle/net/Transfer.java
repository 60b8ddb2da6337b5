package waytrestle.net;

import java.io.IOException;

/**
 * Result of one read or write on a socket. Only a result with {@link Status#PROGRESS} has a number
 * of bytes, so that the error code of a failed call is never counted as bytes.
 *
 * @param bytes number of transferred bytes; 0 without progress
 * @param error the failure with {@link Status#FAILED} and {@link Status#BROKEN}, null otherwise
 */
record Transfer(Status status, long bytes, IOException error) {
    /** How the read or write ended. */
    enum Status {
        /** At least one byte was transferred, perhaps fewer than requested. */
        PROGRESS,
        /** The kernel has no input, or no space for output, at the moment. */
        WOULD_BLOCK,
        /**
         * The call failed and transferred nothing. Whether the connection is broken is not known;
         * if it is, a later read reports it.
         */
        FAILED,
        /** The peer has ended its side of the connection; only a read reports that. */
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
