package waytrestle.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * The body of every error (RFC 9457). {@code harmless} is this project's extension member: true
 * only when coming again cannot make anything happen twice. {@code attempts} and {@code last}, a
 * status or a word in place of one, are there where an end came after attempts.
 */
public record Problem(
        int status,
        String kind,
        String detail,
        boolean harmless,
        long retryAfterMillis,
        int attempts,
        String last) {
    public static final String TYPE = "application/problem+json";
    private static final JsonFactory JSON = new JsonFactory();

    public static Problem of(int status, String kind, String detail, boolean harmless) {
        return new Problem(status, kind, detail, harmless, 0, 0, "");
    }

    public byte[] bytes() {
        ByteArrayOutputStream out = new ByteArrayOutputStream(160);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField("type", "urn:waytrestle:problem:" + kind);
            json.writeStringField("title", HttpWriter.reasonPhrase(status));
            json.writeNumberField("status", status);
            json.writeStringField("detail", detail);
            json.writeBooleanField("harmless", harmless);
            if (retryAfterMillis > 0) {
                json.writeNumberField("retry_after_ms", retryAfterMillis);
            }
            if (!last.isEmpty()) {
                json.writeNumberField("attempts", attempts);
                json.writeStringField("last", last);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
