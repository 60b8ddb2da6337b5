package waytrestle.http;

import java.nio.ByteBuffer;

/**
 * The responses that come on one connection of a client: interim ones are passed over, and the
 * bytes of an incomplete one count against a bound that connections share.
 *
 * <p>Free of I/O and clock. Not thread-safe.
 */
final class ResponseReader {
    /** Interim responses (1xx) to one request: more say nothing more. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private static final int FIRST_FINAL_STATUS = 200;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int BAD_REQUEST = 400;
    private static final int CONTENT_TOO_LARGE = 413;

    private final HttpParser parser;
    private final FairByteLimit held;
    private int interimResponses;

    /** Bytes of a response that is not complete yet. */
    private long heldBytes;

    ResponseReader(HttpLimits limits, FairByteLimit held) {
        this.parser = HttpParser.responses(limits);
        this.held = held;
    }

    /**
     * The next final response, or null where it is not complete yet.
     *
     * @param expected whether a request is out on the connection
     * @throws HttpError where what came is no response, or more than may be held
     */
    HttpMessage next(ByteBuffer in, boolean expected) throws HttpError {
        int bytes = in.remaining();
        HttpMessage message = parser.next(in);
        while (message != null && message.status() < FIRST_FINAL_STATUS) {
            countInterim(message, expected);
            message = parser.next(in);
        }
        if (message == null) {
            hold(bytes);
        } else {
            release();
            interimResponses = 0;
        }
        return message;
    }

    private void countInterim(HttpMessage message, boolean expected) throws HttpError {
        interimResponses++;
        if (!expected
                || message.status() == SWITCHING_PROTOCOLS
                || interimResponses > MAX_INTERIM_RESPONSES) {
            throw new HttpError(BAD_REQUEST, "an interim answer that nobody asked for");
        }
    }

    private void hold(int bytes) throws HttpError {
        if (!held.tryReserve(heldBytes, bytes)) {
            throw new HttpError(CONTENT_TOO_LARGE, "answers together hold as much as they may");
        }
        heldBytes += bytes;
    }

    /** The connection has ended: the response that its end completes, or null without one. */
    HttpMessage finishAtClose() {
        return parser.finishAtClose();
    }

    /** Nothing is held any more of a response that is not complete. */
    void release() {
        held.release(heldBytes);
        heldBytes = 0;
    }
}
