package waytrestle.http;

import java.nio.ByteBuffer;

/**
 * Reads the responses on one connection of a client. Interim responses (1xx) are skipped, and the
 * bytes of an incomplete response count against a limit that connections share.
 *
 * <p>Does no I/O and reads no clock. Not thread-safe.
 */
final class ResponseReader {
    /** Interim responses accepted for one request; a client needs none of them. */
    private static final int MAX_INTERIM_RESPONSES_PER_REQUEST = 16;

    private static final int FIRST_FINAL_STATUS = 200;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int BAD_REQUEST = 400;
    private static final int CONTENT_TOO_LARGE = 413;

    private final HttpParser parser;
    private final FairByteLimit incompleteResponses;
    private int interimResponses;

    /** Bytes received of the incomplete response, 0 between responses. */
    private long reservedBytes;

    ResponseReader(HttpLimits limits, FairByteLimit incompleteResponses) {
        this.parser = HttpParser.responses(limits);
        this.incompleteResponses = incompleteResponses;
    }

    /**
     * Returns the next final response, or null if it is not complete yet.
     *
     * @param in the received bytes
     * @param expected whether a request on the connection awaits its response
     * @throws HttpError if the bytes are not a valid response or exceed a limit
     */
    HttpMessage next(ByteBuffer in, boolean expected) throws HttpError {
        int bytes = in.remaining();
        HttpMessage message = parser.next(in);
        while (message != null && message.status() < FIRST_FINAL_STATUS) {
            checkInterim(message, expected);
            message = parser.next(in);
        }
        if (message == null) {
            reserve(bytes);
        } else {
            release();
            interimResponses = 0;
        }
        return message;
    }

    private void checkInterim(HttpMessage message, boolean expected) throws HttpError {
        interimResponses++;
        if (!expected
                || message.status() == SWITCHING_PROTOCOLS
                || interimResponses > MAX_INTERIM_RESPONSES_PER_REQUEST) {
            throw new HttpError(BAD_REQUEST, "an interim response (1xx) that cannot be skipped");
        }
    }

    private void reserve(int bytes) throws HttpError {
        if (!incompleteResponses.tryReserve(reservedBytes, bytes)) {
            throw new HttpError(
                    CONTENT_TOO_LARGE,
                    "incomplete responses together exceed the limit on their bytes");
        }
        reservedBytes += bytes;
    }

    /** Returns the response that the end of the connection completes, or null if there is none. */
    HttpMessage finishAtClose() {
        return parser.finishAtClose();
    }

    /** Releases the reserved bytes of the incomplete response. */
    void release() {
        incompleteResponses.release(reservedBytes);
        reservedBytes = 0;
    }
}
