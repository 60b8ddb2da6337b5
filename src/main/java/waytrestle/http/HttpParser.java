package waytrestle.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import waytrestle.Bytes;

/**
 * An incremental parser of HTTP/1.1 messages (RFC 9112): any split of the bytes gives the same
 * messages. Strict where two readers could disagree about where a message ends (request smuggling):
 * a line ends by CR LF alone, no space before a colon, one way of giving the length, plain
 * hexadecimal chunk sizes. Trailers are read and dropped.
 */
public final class HttpParser {
    private enum State {
        START,
        HEADER,
        FIXED,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        UNTIL_CLOSE,
        DONE
    }

    private static final int FIRST =
            16 * 1024; // bytes first set aside for a body: a claim alone takes no memory
    private static final int SEGMENT =
            64 * 1024; // bytes of each further part: nothing is copied as a body grows
    private static final int CHUNK_LINE = 256; // bytes of a chunk's size line, extensions included
    private static final int CHUNK_DIGITS = 8;

    private final boolean requests;
    private boolean stopAtBody;
    private final HttpLimits limits;
    private byte[] line = new byte[256];
    private int lineLength;
    private boolean cr;
    private State state = State.START;
    private HttpMessage message;
    private int headerBytes, bodyLength, blankLines;
    private long left;
    private List<byte[]> segments = new ArrayList<>(1);
    private int filled; // bytes of the last segment

    private HttpParser(boolean requests, HttpLimits limits) {
        this.requests = requests;
        this.limits = limits;
    }

    public static HttpParser requests(HttpLimits limits) {
        return new HttpParser(true, limits);
    }

    public static HttpParser responses(HttpLimits limits) {
        return new HttpParser(false, limits);
    }

    /**
     * Makes {@link #next} return once after each head that a body follows, with the body unread.
     */
    public HttpParser stopAtBody() {
        stopAtBody = true;
        return this;
    }

    /** Bytes of the body that the head under way announces; -1 where chunks will tell. */
    public long remainingContentLength() {
        return state == State.FIXED ? left : -1;
    }

    /** True between messages, with nothing of the next one read. */
    public boolean isBetweenMessages() {
        return state == State.START && lineLength == 0 && !cr;
    }

    /** True once the head of the message under way is complete. */
    public boolean isReadingBody() {
        return state.ordinal() > State.HEADER.ordinal() && state != State.DONE;
    }

    /** The message under way, with its head complete when {@link #isReadingBody}. */
    public HttpMessage currentMessage() {
        return message;
    }

    /**
     * A whole message once there is one, else null with the buffer used up. Throws {@link
     * HttpError}.
     */
    public HttpMessage next(ByteBuffer in) {
        while (in.hasRemaining() && state != State.DONE) {
            switch (state) {
                case FIXED, CHUNK -> take(in);
                case UNTIL_CLOSE -> {
                    left = Math.min(in.remaining(), (long) limits.bodyBytes() - bodyLength);
                    if (left == 0) {
                        throw new HttpError(413, "body is over " + limits.bodyBytes() + " bytes");
                    }
                    append(in, (int) left);
                }
                default -> {
                    boolean head = state == State.HEADER;
                    if (line(in)) {
                        endOfLine();
                        if (stopAtBody && head && isReadingBody()) {
                            return null;
                        }
                    }
                }
            }
        }
        return state == State.DONE ? finish() : null;
    }

    /** The peer closed: the message that only a close ends, or null. */
    public HttpMessage finishAtClose() {
        return state == State.UNTIL_CLOSE ? finish() : null;
    }

    private HttpMessage finish() {
        HttpMessage done = message;
        done.content = Bytes.of(segments, filled);
        segments = new ArrayList<>(1);
        filled = 0;
        bodyLength = headerBytes = blankLines = 0;
        message = null;
        state = State.START;
        return done;
    }

    /** Adds bytes to the line under way; true at its end. */
    private boolean line(ByteBuffer in) {
        int most =
                switch (state) {
                    case START -> limits.startLineBytes();
                    case CHUNK_SIZE, CHUNK_END -> CHUNK_LINE;
                    default -> limits.headerBytes() - headerBytes;
                };
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                if (!cr) {
                    throw new HttpError(400, "a line ends without CR");
                }
                cr = false;
                return true;
            }
            if (cr) {
                throw new HttpError(400, "a CR stands alone");
            }
            if (b == '\r') {
                cr = true;
                continue;
            }
            if (b == 0 || (b > 0 && b < ' ' && b != '\t') || b == 127) {
                throw new HttpError(400, "a control character stands in the head");
            }
            if (lineLength >= most) {
                throw tooLong();
            }
            if (lineLength == line.length) {
                line = Arrays.copyOf(line, line.length * 2);
            }
            line[lineLength++] = b;
        }
        return false;
    }

    private HttpError tooLong() {
        return switch (state) {
            case START ->
                    new HttpError(
                            requests ? 414 : 502,
                            "the first line is over " + limits.startLineBytes() + " bytes");
            case CHUNK_SIZE, CHUNK_END ->
                    new HttpError(400, "a chunk's size line is over " + CHUNK_LINE + " bytes");
            default -> new HttpError(431, "headers are over " + limits.headerBytes() + " bytes");
        };
    }

    private void endOfLine() {
        int length = lineLength;
        lineLength = 0;
        switch (state) {
            case START -> {
                if (length == 0) {
                    if (!requests || ++blankLines > 2) {
                        throw new HttpError(
                                400, "a blank line stands where a message should begin");
                    }
                    return;
                }
                message = new HttpMessage();
                if (requests) {
                    requestLine(length);
                } else {
                    statusLine(length);
                }
                state = State.HEADER;
            }
            case HEADER -> {
                headerBytes += length + 2;
                if (length == 0) {
                    endOfHead();
                } else {
                    header(length);
                }
            }
            case CHUNK_SIZE -> chunkSize(length);
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

    private String text(int from, int to) {
        return new String(line, from, to - from, StandardCharsets.ISO_8859_1);
    }

    private void requestLine(int length) {
        String text = text(0, length);
        int first = text.indexOf(' ');
        int last = text.lastIndexOf(' ');
        if (first <= 0 || last <= first + 1 || text.indexOf(' ', first + 1) != last) {
            throw new HttpError(400, "the request line is not METHOD TARGET VERSION");
        }
        message.method = text.substring(0, first);
        message.target = text.substring(first + 1, last);
        for (int i = 0; i < first; i++) {
            if (!token(message.method.charAt(i))) {
                throw new HttpError(400, "the method is not a token");
            }
        }
        for (int i = 0; i < message.target.length(); i++) {
            if (message.target.charAt(i) <= ' ' || message.target.charAt(i) > '~') {
                throw new HttpError(400, "the target holds a character that must be encoded");
            }
        }
        version(text.substring(last + 1));
    }

    private void statusLine(int length) {
        String text = text(0, length);
        if (text.length() < 12
                || text.charAt(8) != ' '
                || (text.length() > 12 && text.charAt(12) != ' ')) {
            throw new HttpError(502, "the status line is malformed");
        }
        version(text.substring(0, 8));
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

    private void version(String text) {
        if (text.equals("HTTP/1.0")) {
            message.http10 = true;
        } else if (!text.equals("HTTP/1.1")) {
            throw new HttpError(
                    text.startsWith("HTTP/") ? 505 : 400, "the version is not HTTP/1.1");
        }
    }

    private void header(int length) {
        if (message.headerNames.size() >= limits.headerCount()) {
            throw new HttpError(431, "there are over " + limits.headerCount() + " headers");
        }
        if (line[0] == ' ' || line[0] == '\t') {
            throw new HttpError(400, "a header is folded over lines");
        }
        int colon = 0;
        while (colon < length && line[colon] != ':') {
            if (!token((char) (line[colon] & 0xFF))) {
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
        message.headerNames.add(text(0, colon).toLowerCase(Locale.ROOT));
        message.headerValues.add(text(from, to));
    }

    private static boolean token(char c) {
        return c > ' ' && c < 127 && "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0;
    }

    private void endOfHead() {
        HttpMessage m = message;
        if (requests && (m.http10 ? m.occurrences("host") > 1 : m.occurrences("host") != 1)) {
            throw new HttpError(400, "there must be one Host header");
        }
        String coding = m.joinedHeader("transfer-encoding");
        long length = contentLength(m);
        if (coding != null) {
            if (length >= 0) {
                throw new HttpError(400, "both Content-Length and Transfer-Encoding are given");
            }
            if (m.http10) {
                throw new HttpError(400, "HTTP/1.0 has no Transfer-Encoding");
            }
            if (!coding.trim().equalsIgnoreCase("chunked")) {
                throw new HttpError(
                        requests ? 501 : 502, "the only transfer coding known is chunked");
            }
        }
        boolean none = !requests && (m.status < 200 || m.status == 204 || m.status == 304);
        if (none) {
            state = State.DONE;
        } else if (coding != null) {
            state = State.CHUNK_SIZE;
        } else if (length > 0) {
            room(length);
            left = length;
            state = State.FIXED;
        } else {
            state = requests || length == 0 ? State.DONE : State.UNTIL_CLOSE;
            m.endedByClose = state == State.UNTIL_CLOSE;
        }
    }

    /** The one length given, -1 without; the same length given twice is that length. */
    private long contentLength(HttpMessage m) {
        long length = -1;
        for (int i = 0; i < m.headerNames.size(); i++) {
            if (!m.headerNames.get(i).equals("content-length")) {
                continue;
            }
            for (String each : m.headerValues.get(i).split(",", -1)) {
                String digits = each.trim();
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

    private void room(long more) {
        if (bodyLength + more > limits.bodyBytes()) {
            throw new HttpError(
                    requests ? 413 : 502, "the body is over " + limits.bodyBytes() + " bytes");
        }
    }

    private void chunkSize(int length) {
        int digits = 0;
        long size = 0;
        while (digits < length && Character.digit(line[digits], 16) >= 0 && line[digits] > 0) {
            size = size * 16 + Character.digit(line[digits++], 16);
            if (digits > CHUNK_DIGITS) {
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
        room(size);
        left = size;
        state = State.CHUNK;
    }

    private void take(ByteBuffer in) {
        append(in, (int) Math.min(left, in.remaining()));
        if (left == 0) {
            state = state == State.FIXED ? State.DONE : State.CHUNK_END;
        }
    }

    private void append(ByteBuffer in, int n) {
        for (int rest = n; rest > 0; ) {
            byte[] last =
                    segments.isEmpty() ? HttpMessage.NO_BODY : segments.get(segments.size() - 1);
            if (filled == last.length) {
                int size = segments.isEmpty() ? FIRST : SEGMENT;
                last =
                        new byte
                                [state == State.FIXED
                                        ? (int) Math.min(size, left - (n - rest))
                                        : size];
                segments.add(last);
                filled = 0;
            }
            int some = Math.min(rest, last.length - filled);
            in.get(last, filled, some);
            filled += some;
            rest -= some;
        }
        bodyLength += n;
        left -= n;
    }
}
