package waytrestle.access;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;

/** Encodes lines of the access log, each as a JSON object and a line feed. */
final class AccessLineJson {
    private static final JsonFactory FACTORY = new JsonFactory();

    /** Holds a line of usual length; the buffer grows with longer lines. */
    private static final int INITIAL_BUFFER_BYTES = 256;

    private AccessLineJson() {}

    /** Returns the line in UTF-8, including the line feed. */
    static byte[] encode(AccessLine line) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            writeRequest(json, line);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        out.write('\n');
        return out.toByteArray();
    }

    private static void writeRequest(JsonGenerator json, AccessLine line) throws IOException {
        json.writeStartObject();
        json.writeStringField("time", Instant.ofEpochMilli(line.endedAtMillis()).toString());
        if (!line.id().isEmpty()) {
            json.writeStringField("id_sha256", AccessLine.hash(line.id()));
        }
        writeUnlessEmpty(json, "tenant", line.tenant());
        json.writeStringField("class", line.requestClass());
        json.writeStringField("function", line.function());
        json.writeStringField("end", line.outcome());
        writeUnlessEmpty(json, "reason", line.reason());
        json.writeNumberField("took_us", line.durationMicros());
        json.writeArrayFieldStart("attempts");
        for (AccessLine.AttemptEntry attempt : line.attempts()) {
            writeAttempt(json, attempt);
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private static void writeAttempt(JsonGenerator json, AccessLine.AttemptEntry attempt)
            throws IOException {
        json.writeStartObject();
        json.writeStringField("invoker", attempt.invoker());
        json.writeStringField("said", attempt.response());
        json.writeNumberField("took_us", attempt.durationMicros());
        if (attempt.hasEstimate()) {
            json.writeNumberField("estimate_us", attempt.estimateMicros());
        }
        json.writeEndObject();
    }

    private static void writeUnlessEmpty(JsonGenerator json, String field, String text)
            throws IOException {
        if (!text.isEmpty()) {
            json.writeStringField(field, text);
        }
    }
}
