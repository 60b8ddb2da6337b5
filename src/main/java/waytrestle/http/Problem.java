package waytrestle.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * The body of an error response: a problem detail (RFC 9457) with extension members.
 *
 * @param status the HTTP status of the response
 * @param kind the last part of the problem type's URN
 * @param detail a sentence for people
 * @param harmless true only if repeating the request cannot execute anything twice
 * @param retryAfterMillis time after which the client may retry, 0 if not stated
 * @param attempts number of attempts before the request failed; written only with {@code last}
 * @param last the status of the last attempt, or a word where it had none; empty if there was no
 *     attempt
 */
public record Problem(
        int status,
        String kind,
        String detail,
        boolean harmless,
        long retryAfterMillis,
        int attempts,
        String last) {
    /** The content type of the body. */
    public static final String TYPE = "application/problem+json";

    private static final JsonFactory JSON = new JsonFactory();

    /** Creates a problem without a retry time and without attempts. */
    public static Problem of(int status, String kind, String detail, boolean harmless) {
        return new Problem(status, kind, detail, harmless, 0, 0, "");
    }

    /** Returns the problem as JSON. */
    public byte[] bytes() {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream(160);
        try (JsonGenerator json = JSON.createGenerator(buffer)) {
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
        return buffer.toByteArray();
    }
}
