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

    private final HttpLimits limits;
    private final HttpParser parser;
    private final FairByteLimit incompleteResponses;
    private final ReceivedStatusLine statusLine = new ReceivedStatusLine();
    private int interimResponses;

    /** Bytes received of the incomplete response, 0 between responses. */
    private long reservedBytes;

    ResponseReader(HttpLimits limits, FairByteLimit incompleteResponses) {
        this.limits = limits;
        this.parser = HttpParser.responses(limits);
        this.incompleteResponses = incompleteResponses;
    }

    /**
     * Returns the next final response, or null if it is not complete yet.
     *
     * @param in the received bytes
     * @throws HttpError if the bytes are not a valid response or exceed a limit
     */
    HttpMessage next(ByteBuffer in) throws HttpError {
        int bytes = in.remaining();
        HttpMessage message = parse(in);
        while (message != null && message.status() < FIRST_FINAL_STATUS) {
            checkInterim(message);
            message = parse(in);
        }
        if (message == null) {
            reserve(bytes);
        } else {
            release();
            interimResponses = 0;
        }
        return message;
    }

    private HttpMessage parse(ByteBuffer in) throws HttpError {
        if (parser.isBetweenMessages()) {
            statusLine.clear();
        }
        int from = in.position();
        HttpMessage message = parser.next(in);
        statusLine.append(in, from, in.position());
        return message;
    }

    /**
     * Returns whether the response may have been cut short by its own Content-Length: the bytes
     * behind it are not the begin of another response, so they may be the rest of its body. A body
     * in chunks marks its end itself, and no other response has a body that could go on.
     *
     * @param response the response that {@link #next} has returned last
     * @param following the bytes behind it, as far as they have arrived; not changed
     */
    boolean mayBeCutShort(HttpMessage response, ByteBuffer following) {
        return following.hasRemaining()
                && response.hasStatedLength()
                && !beginsAnotherResponse(following);
    }

    /** Returns whether the bytes repeat the status line and go on as a head, as far as they go. */
    private boolean beginsAnotherResponse(ByteBuffer following) {
        if (!statusLine.isRepeatedBy(following)) {
            return false;
        }
        try {
            HttpParser.responses(limits).stopAtBody().next(following.duplicate());
            return true;
        } catch (HttpError e) {
            return false;
        }
    }

    private void checkInterim(HttpMessage message) throws HttpError {
        interimResponses++;
        if (message.status() == SWITCHING_PROTOCOLS
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
