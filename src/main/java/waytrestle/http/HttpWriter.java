package waytrestle.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Writes heads; the length is always given and a value can never end its line. */
public final class HttpWriter {
    private final StringBuilder text = new StringBuilder(256);

    private HttpWriter() {}

    public static HttpWriter request(String method, String target, String host) {
        HttpWriter w = new HttpWriter();
        w.text.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        return w.header("Host", host);
    }

    public static HttpWriter response(int status) {
        HttpWriter w = new HttpWriter();
        w.text.append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(reasonPhrase(status))
                .append("\r\n");
        return w;
    }

    public HttpWriter header(String name, String value) {
        text.append(name).append(": ");
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            text.append(c < ' ' || c == 127 || c > 255 ? ' ' : c);
        }
        text.append("\r\n");
        return this;
    }

    public HttpWriter header(String name, long value) {
        text.append(name).append(": ").append(value).append("\r\n");
        return this;
    }

    /** The head, ended, with the length of the body that follows it. */
    public ByteBuffer head(int bodyLength) {
        text.append("Content-Length: ").append(bodyLength).append("\r\n\r\n");
        return ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The head of a message without a body, which needs no length. */
    public ByteBuffer head() {
        return ByteBuffer.wrap(
                text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }

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
