import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message as it came: first line, headers by lower-case name, body by its length. */
record Http(String first, Map<String, String> headers, byte[] body) {
    /** Stands for no message yet. */
    static final Http NONE = new Http("", Map.of(), new byte[0]);

    /** Reads a message; returns null if the connection ended before its first byte. */
    static Http read(InputStream in) throws IOException {
        String first = readLine(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the message ended within its body");
        }
        return new Http(first, headers, body);
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the message ended within its head");
            }
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Returns the status of a response. */
    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
