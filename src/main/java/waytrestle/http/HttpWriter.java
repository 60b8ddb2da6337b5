package waytrestle.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Builds the head of a request or response. Control characters in a header value are replaced by
 * spaces, so that a value cannot end its line and start another header.
 */
public final class HttpWriter {
    private final StringBuilder text = new StringBuilder(256);

    private HttpWriter() {}

    /** Starts a request with its request line and Host header. */
    public static HttpWriter request(String method, String target, String host) {
        HttpWriter writer = new HttpWriter();
        writer.text.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        return writer.header("Host", host);
    }

    /** Starts a response with its status line. */
    public static HttpWriter response(int status) {
        HttpWriter writer = new HttpWriter();
        writer.text
                .append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(reasonPhrase(status))
                .append("\r\n");
        return writer;
    }

    /** Adds a header; characters that ISO 8859-1 cannot encode become spaces too. */
    public HttpWriter header(String name, String value) {
        text.append(name).append(": ");
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            text.append(c < ' ' || c == 127 || c > 255 ? ' ' : c);
        }
        text.append("\r\n");
        return this;
    }

    /** Adds a header with a number. */
    public HttpWriter header(String name, long value) {
        text.append(name).append(": ").append(value).append("\r\n");
        return this;
    }

    /** Ends the head with the length, in bytes, of the body that follows, and returns its bytes. */
    public ByteBuffer head(int bodyLength) {
        text.append("Content-Length: ").append(bodyLength).append("\r\n\r\n");
        return ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Ends the head without a length and returns its bytes; for a message without a body. */
    public ByteBuffer head() {
        return ByteBuffer.wrap(
                text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns the reason phrase of a status, or "Status" if the status is not in use here. */
    static String reasonPhrase(int status) {
        return switch (status) {
            case 100 -> "Continue";
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 401 -> "Unauthorized";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 410 -> "Gone";
            case 413 -> "Content Too Large";
            case 414 -> "URI Too Long";
            case 422 -> "Unprocessable Content";
            case 429 -> "Too Many Requests";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 501 -> "Not Implemented";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            case 505 -> "HTTP Version Not Supported";
            default -> "Status";
        };
    }
}
