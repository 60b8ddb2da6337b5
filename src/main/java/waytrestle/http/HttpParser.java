package waytrestle.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import waytrestle.Bytes;

/**
 * An incremental parser of HTTP/1.1 messages (RFC 9112): any split of the bytes into buffers gives
 * the same messages. The parser is strict where two parsers could disagree about where a message
 * ends (request smuggling): a line ends only with CR LF, no space stands before a colon, the length
 * is given in one way only, and a chunk size is plain hexadecimal. Trailers are read and discarded.
 *
 * <p>After an {@link HttpError} the parser must not be used any more. Not thread-safe.
 */
public final class HttpParser {
    private enum State {
        START_LINE,
        HEADER,
        FIXED_LENGTH_BODY,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER,
        BODY_UNTIL_CLOSE,
        DONE
    }

    /**
     * Size of the first buffer of a body. Small, and allocated only when body bytes arrive, so that
     * an announced length alone takes no memory.
     */
    private static final int FIRST_SEGMENT_BYTES = 16 * 1024;

    /** Size of each further buffer of a body, which is added instead of copying the former ones. */
    private static final int SEGMENT_BYTES = 64 * 1024;

    /** Longest size line of a chunk, extensions included. */
    private static final int MAX_CHUNK_LINE_BYTES = 256;

    /** Most hexadecimal digits of a chunk size. */
    private static final int MAX_CHUNK_SIZE_DIGITS = 8;

    private final boolean parsesRequests;
    private boolean stopsAtBody;
    private final HttpLimits limits;

    /** The current line without its line end; the first {@code lineLength} bytes count. */
    private byte[] line = new byte[256];

    private int lineLength;

    /** Whether the last byte of the current line was a CR. */
    private boolean seenCr;

    private State state = State.START_LINE;
    private HttpMessage message;
    private int headerBytes, bodyBytes, blankLines;

    /** Bytes still to come of the body or chunk. */
    private long remainingBytes;

    /** The body read so far; only the last segment may be partly filled. */
    private List<byte[]> segments = new ArrayList<>(1);

    /** Bytes filled in the last segment. */
    private int lastSegmentBytes;

    private HttpParser(boolean parsesRequests, HttpLimits limits) {
        this.parsesRequests = parsesRequests;
        this.limits = limits;
    }

    /** Returns a parser of requests, which throws errors with the statuses of a server. */
    public static HttpParser requests(HttpLimits limits) {
        return new HttpParser(true, limits);
    }

    /** Returns a parser of responses. */
    public static HttpParser responses(HttpLimits limits) {
        return new HttpParser(false, limits);
    }

    /**
     * Makes {@link #next} return null once after each head that a body follows, with the body
     * unread.
     */
    public HttpParser stopAtBody() {
        stopsAtBody = true;
        return this;
    }

    /**
     * Returns the bytes still to come of a body with a Content-Length, -1 for any other message.
     */
    public long remainingContentLength() {
        return state == State.FIXED_LENGTH_BODY ? remainingBytes : -1;
    }

    /** Returns whether no byte of the next message has been read. */
    public boolean isBetweenMessages() {
        return state == State.START_LINE && lineLength == 0 && !seenCr;
    }

    /** Returns whether the head of the current message is complete and its body is not. */
    public boolean isReadingBody() {
        return state.ordinal() > State.HEADER.ordinal() && state != State.DONE;
    }

    /**
     * Returns the incomplete message being read, null before its first line is complete. Its head
     * is complete if {@link #isReadingBody}.
     */
    public HttpMessage currentMessage() {
        return message;
    }

    /**
     * Reads bytes up to the end of a message.
     *
     * @return the complete message, whose following bytes remain in the buffer; null if the message
     *     is incomplete, with the whole buffer read except after {@link #stopAtBody}
     * @throws HttpError if the message is malformed or exceeds a limit
     */
    public HttpMessage next(ByteBuffer in) {
        while (in.hasRemaining() && state != State.DONE) {
            switch (state) {
                case FIXED_LENGTH_BODY, CHUNK_DATA -> readBody(in);
                case BODY_UNTIL_CLOSE -> {
                    remainingBytes =
                            Math.min(in.remaining(), (long) limits.bodyBytes() - bodyBytes);
                    if (remainingBytes == 0) {
                        throw new HttpError(413, "body is over " + limits.bodyBytes() + " bytes");
                    }
                    appendBody(in, (int) remainingBytes);
                }
                default -> {
                    boolean inHead = state == State.HEADER;
                    if (readLine(in)) {
                        processLine();
                        if (stopsAtBody && inHead && isReadingBody()) {
                            return null;
                        }
                    }
                }
            }
        }
        return state == State.DONE ? finishMessage() : null;
    }

    /**
     * Returns the message that the close of the connection completes: a response without a length
     * and without chunks. Returns null if there is none.
     */
    public HttpMessage finishAtClose() {
        return state == State.BODY_UNTIL_CLOSE ? finishMessage() : null;
    }

    private HttpMessage finishMessage() {
        HttpMessage finished = message;
        finished.content = Bytes.of(segments, lastSegmentBytes);
        segments = new ArrayList<>(1);
        lastSegmentBytes = 0;
        bodyBytes = headerBytes = blankLines = 0;
        message = null;
        state = State.START_LINE;
        return finished;
    }

    /** Reads bytes of the current line; returns true at the end of the line. */
    private boolean readLine(ByteBuffer in) {
        int maxLineBytes =
                switch (state) {
                    case START_LINE -> limits.startLineBytes();
                    case CHUNK_SIZE, CHUNK_END -> MAX_CHUNK_LINE_BYTES;
                    default -> limits.headerBytes() - headerBytes;
                };
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                if (!seenCr) {
                    throw new HttpError(400, "a line ends without CR");
                }
                seenCr = false;
                return true;
            }
            if (seenCr) {
                throw new HttpError(400, "a CR stands alone");
            }
            if (b == '\r') {
                seenCr = true;
                continue;
            }
            if (b == 0 || (b > 0 && b < ' ' && b != '\t') || b == 127) {
                throw new HttpError(400, "a control character stands in the head");
            }
            if (lineLength >= maxLineBytes) {
                throw lineTooLong();
            }
            if (lineLength == line.length) {
                line = Arrays.copyOf(line, line.length * 2);
            }
            line[lineLength++] = b;
        }
        return false;
    }

    /** Returns the error for a line or a header section that exceeds its limit. */
    private HttpError lineTooLong() {
        return switch (state) {
            case START_LINE ->
                    new HttpError(
                            parsesRequests ? 414 : 502,
                            "the first line is over " + limits.startLineBytes() + " bytes");
            case CHUNK_SIZE, CHUNK_END ->
                    new HttpError(
                            400, "a chunk's size line is over " + MAX_CHUNK_LINE_BYTES + " bytes");
            default -> new HttpError(431, "headers are over " + limits.headerBytes() + " bytes");
        };
    }

    /** Processes the complete current line by the state that it was read in. */
    private void processLine() {
        int length = lineLength;
        lineLength = 0;
        switch (state) {
            case START_LINE -> {
                if (length == 0) {
                    if (!parsesRequests || ++blankLines > 2) {
                        throw new HttpError(
                                400, "a blank line stands where a message should begin");
                    }
                    return;
                }
                message = new HttpMessage();
                if (parsesRequests) {
                    parseRequestLine(length);
                } else {
                    parseStatusLine(length);
                }
                state = State.HEADER;
            }
            case HEADER -> {
                headerBytes += length + 2;
                if (length == 0) {
                    processHeadEnd();
                } else {
                    parseHeader(length);
                }
            }
            case CHUNK_SIZE -> parseChunkSize(length);
            case CHUNK_END -> {
                if (length != 0) {
                    throw new HttpError(400, "a chunk is longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            default -> { // a trailer
                headerBytes += length + 2;
                if (length == 0) {
                    state = State.DONE;
                }
            }
        }
    }

    private String lineText(int from, int to) {
        return new String(line, from, to - from, StandardCharsets.ISO_8859_1);
    }

    private void parseRequestLine(int length) {
        String text = lineText(0, length);
        int firstSpace = text.indexOf(' ');
        int lastSpace = text.lastIndexOf(' ');
        if (firstSpace <= 0
                || lastSpace <= firstSpace + 1
                || text.indexOf(' ', firstSpace + 1) != lastSpace) {
            throw new HttpError(400, "the request line is not METHOD TARGET VERSION");
        }
        message.method = text.substring(0, firstSpace);
        message.target = text.substring(firstSpace + 1, lastSpace);
        for (int i = 0; i < firstSpace; i++) {
            if (!isTokenCharacter(message.method.charAt(i))) {
                throw new HttpError(400, "the method is not a token");
            }
        }
        for (int i = 0; i < message.target.length(); i++) {
            if (message.target.charAt(i) <= ' ' || message.target.charAt(i) > '~') {
                throw new HttpError(400, "the target holds a character that must be encoded");
            }
        }
        parseVersion(text.substring(lastSpace + 1));
    }

    private void parseStatusLine(int length) {
        String text = lineText(0, length);
        if (text.length() < 12
                || text.charAt(8) != ' '
                || (text.length() > 12 && text.charAt(12) != ' ')) {
            throw new HttpError(502, "the status line is malformed");
        }
        parseVersion(text.substring(0, 8));
        int status = 0;
        for (int i = 9; i < 12; i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                throw new HttpError(502, "the status is not a number");
            }
            status = status * 10 + digit;
        }
        if (status < 100) {
            throw new HttpError(502, "the status is below 100");
        }
        message.status = status;
        message.reason = text.length() > 13 ? text.substring(13) : "";
    }

    private void parseVersion(String text) {
        if (text.equals("HTTP/1.0")) {
            message.http10 = true;
        } else if (!text.equals("HTTP/1.1")) {
            throw new HttpError(
                    text.startsWith("HTTP/") ? 505 : 400, "the version is not HTTP/1.1");
        }
    }

    private void parseHeader(int length) {
        if (message.headerNames.size() >= limits.headerCount()) {
            throw new HttpError(431, "there are over " + limits.headerCount() + " headers");
        }
        if (line[0] == ' ' || line[0] == '\t') {
            throw new HttpError(400, "a header is folded over lines");
        }
        int colon = 0;
        while (colon < length && line[colon] != ':') {
            if (!isTokenCharacter((char) (line[colon] & 0xFF))) {
                throw new HttpError(
                        400,
                        line[colon] == ' ' || line[colon] == '\t'
                                ? "a space stands before a header's colon"
                                : "a header's name is not a token");
            }
            colon++;
        }
        if (colon == 0 || colon == length) {
            throw new HttpError(400, "a header has no name or no colon");
        }
        int from = colon + 1;
        int to = length;
        while (from < to && (line[from] == ' ' || line[from] == '\t')) {
            from++;
        }
        while (to > from && (line[to - 1] == ' ' || line[to - 1] == '\t')) {
            to--;
        }
        message.headerNames.add(lineText(0, colon).toLowerCase(Locale.ROOT));
        message.headerValues.add(lineText(from, to));
    }

    private static boolean isTokenCharacter(char c) {
        return c > ' ' && c < 127 && "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0;
    }

    /** Finds out from the complete head where the message ends, and how its body is framed. */
    private void processHeadEnd() {
        HttpMessage head = message;
        if (parsesRequests
                && (head.http10 ? head.occurrences("host") > 1 : head.occurrences("host") != 1)) {
            throw new HttpError(400, "there must be one Host header");
        }
        String coding = head.joinedHeader("transfer-encoding");
        long length = parseContentLength(head);
        if (coding != null) {
            if (length >= 0) {
                throw new HttpError(400, "both Content-Length and Transfer-Encoding are given");
            }
            if (head.http10) {
                throw new HttpError(400, "HTTP/1.0 has no Transfer-Encoding");
            }
            if (!coding.trim().equalsIgnoreCase("chunked")) {
                throw new HttpError(
                        parsesRequests ? 501 : 502, "the only transfer coding known is chunked");
            }
        }
        boolean neverHasBody =
                !parsesRequests && (head.status < 200 || head.status == 204 || head.status == 304);
        head.hasStatedLength = !neverHasBody && length >= 0;
        if (neverHasBody) {
            state = State.DONE;
        } else if (coding != null) {
            state = State.CHUNK_SIZE;
        } else if (length > 0) {
            checkBodyLimit(length);
            remainingBytes = length;
            state = State.FIXED_LENGTH_BODY;
        } else {
            state = parsesRequests || length == 0 ? State.DONE : State.BODY_UNTIL_CLOSE;
            head.endedByClose = state == State.BODY_UNTIL_CLOSE;
        }
    }

    /** Returns the Content-Length, which may be repeated with the same value; -1 without one. */
    private long parseContentLength(HttpMessage head) {
        long length = -1;
        for (int i = 0; i < head.headerNames.size(); i++) {
            if (!head.headerNames.get(i).equals("content-length")) {
                continue;
            }
            for (String element : head.headerValues.get(i).split(",", -1)) {
                String digits = element.trim();
                long value = 0;
                if (digits.isEmpty() || digits.length() > 18) {
                    throw new HttpError(400, "Content-Length is not a number");
                }
                for (int j = 0; j < digits.length(); j++) {
                    if (digits.charAt(j) < '0' || digits.charAt(j) > '9') {
                        throw new HttpError(400, "Content-Length is not a number");
                    }
                    value = value * 10 + digits.charAt(j) - '0';
                }
                if (length >= 0 && length != value) {
                    throw new HttpError(400, "Content-Length is given twice and differs");
                }
                length = value;
            }
        }
        return length;
    }

    /** Checks that the body stays within its limit with the announced bytes added. */
    private void checkBodyLimit(long additionalBytes) {
        if (bodyBytes + additionalBytes > limits.bodyBytes()) {
            throw new HttpError(
                    parsesRequests ? 413 : 502,
                    "the body is over " + limits.bodyBytes() + " bytes");
        }
    }

    private void parseChunkSize(int length) {
        int digits = 0;
        long size = 0;
        while (digits < length && Character.digit(line[digits], 16) >= 0 && line[digits] > 0) {
            size = size * 16 + Character.digit(line[digits++], 16);
            if (digits > MAX_CHUNK_SIZE_DIGITS) {
                throw new HttpError(400, "a chunk's size is too long");
            }
        }
        if (digits == 0 || (digits < length && line[digits] != ';')) {
            throw new HttpError(400, "a chunk's size is not plain hexadecimal");
        }
        if (size == 0) {
            state = State.TRAILER;
            return;
        }
        checkBodyLimit(size);
        remainingBytes = size;
        state = State.CHUNK_DATA;
    }

    private void readBody(ByteBuffer in) {
        appendBody(in, (int) Math.min(remainingBytes, in.remaining()));
        if (remainingBytes == 0) {
            state = state == State.FIXED_LENGTH_BODY ? State.DONE : State.CHUNK_END;
        }
    }

    /** Copies bytes of the body into its segments, which are allocated as the bytes arrive. */
    private void appendBody(ByteBuffer in, int count) {
        for (int uncopied = count; uncopied > 0; ) {
            byte[] last =
                    segments.isEmpty() ? HttpMessage.NO_BODY : segments.get(segments.size() - 1);
            if (lastSegmentBytes == last.length) {
                int size = segments.isEmpty() ? FIRST_SEGMENT_BYTES : SEGMENT_BYTES;
                last =
                        new byte
                                [state == State.FIXED_LENGTH_BODY
                                        ? (int) Math.min(size, remainingBytes - (count - uncopied))
                                        : size];
                segments.add(last);
                lastSegmentBytes = 0;
            }
            int copied = Math.min(uncopied, last.length - lastSegmentBytes);
            in.get(last, lastSegmentBytes, copied);
            lastSegmentBytes += copied;
            uncopied -= copied;
        }
        bodyBytes += count;
        remainingBytes -= count;
    }
}
