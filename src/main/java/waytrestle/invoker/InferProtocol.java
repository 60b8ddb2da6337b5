package waytrestle.invoker;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import waytrestle.Bytes;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpWriter;
import waytrestle.requests.RequestOutcome.Served;

/**
 * The Open Inference Protocol (KServe v2) over HTTP as this gateway uses it: a payload is one BYTES
 * tensor of the binary tensor extension, carried as it came; functions are loaded and unloaded by
 * the model repository extension.
 */
public final class InferProtocol {
    /** Headers by which an invoker and an audit tell controllers and attempts apart. */
    public static final String CONTROLLER = "waytrestle-controller",
            ATTEMPT = "waytrestle-attempt",
            CALL = "waytrestle-call";

    static final String JSON_LENGTH = "Inference-Header-Content-Length";
    private static final int READ_WHOLE =
            65_536; // bytes of an answer's JSON that are looked at to their end
    private static final JsonFactory JSON = new JsonFactory();
    private static final ObjectMapper TREES = new ObjectMapper();

    private final String host, controller;

    public InferProtocol(String host, int controller) {
        this.host = host;
        this.controller = Integer.toString(controller);
    }

    private interface Body {
        void write(JsonGenerator json) throws IOException;
    }

    private static byte[] json(Body body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            body.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /**
     * An infer request that a client wrote, passed on as it is; the call's id travels in a header
     * beside it.
     */
    public ByteBuffer[] passed(String function, String id, int attempt, Bytes body, int jsonBytes) {
        HttpWriter head =
                HttpWriter.request("POST", "/v2/models/" + function + "/infer", host)
                        .header(CONTROLLER, controller)
                        .header(ATTEMPT, attempt)
                        .header(CALL, id);
        if (jsonBytes < body.size()) {
            head.header("Content-Type", "application/octet-stream").header(JSON_LENGTH, jsonBytes);
        } else {
            head.header("Content-Type", "application/json");
        }
        List<ByteBuffer> all = new ArrayList<>();
        all.add(head.head(Math.toIntExact(body.size())));
        all.addAll(body.buffers());
        return all.toArray(ByteBuffer[]::new);
    }

    /** An infer request: head, JSON part with the tensor's length, and the payload by reference. */
    public ByteBuffer[] infer(
            String function, String id, int attempt, String contentType, Bytes payload) {
        int length = Math.toIntExact(payload.size());
        byte[] json =
                json(
                        g -> {
                            g.writeStringField("id", id);
                            g.writeArrayFieldStart("inputs");
                            g.writeStartObject();
                            g.writeStringField("name", "payload");
                            g.writeStringField("datatype", "BYTES");
                            g.writeArrayFieldStart("shape");
                            g.writeNumber(1);
                            g.writeEndArray();
                            g.writeObjectFieldStart("parameters");
                            g.writeNumberField("binary_data_size", length + 4);
                            g.writeStringField("content_type", contentType);
                            g.writeEndObject();
                            g.writeEndObject();
                            g.writeEndArray();
                            g.writeObjectFieldStart("parameters");
                            g.writeBooleanField("binary_data_output", true);
                            g.writeEndObject();
                        });
        ByteBuffer head =
                HttpWriter.request("POST", "/v2/models/" + function + "/infer", host)
                        .header("Content-Type", "application/octet-stream")
                        .header(JSON_LENGTH, json.length)
                        .header(CONTROLLER, controller)
                        .header(ATTEMPT, attempt)
                        .head(json.length + 4 + length);
        ByteBuffer middle =
                ByteBuffer.allocate(json.length + 4)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .put(json)
                        .putInt(length)
                        .flip();
        List<ByteBuffer> all = new ArrayList<>(List.of(head, middle));
        all.addAll(payload.buffers());
        return all.toArray(ByteBuffer[]::new);
    }

    public ByteBuffer[] load(String function, int copies) {
        return post(
                "/v2/repository/models/" + function + "/load",
                json(
                        g -> {
                            g.writeObjectFieldStart("parameters");
                            g.writeNumberField("copies", copies);
                            g.writeEndObject();
                        }));
    }

    public ByteBuffer[] unload(String function) {
        return post("/v2/repository/models/" + function + "/unload", json(g -> {}));
    }

    public ByteBuffer[] index() {
        return post("/v2/repository/index", json(g -> {}));
    }

    public ByteBuffer[] ready() {
        return new ByteBuffer[] {
            HttpWriter.request("GET", "/v2/health/ready", host)
                    .header(CONTROLLER, controller)
                    .head(0)
        };
    }

    private ByteBuffer[] post(String path, byte[] body) {
        return new ByteBuffer[] {
            HttpWriter.request("POST", path, host)
                    .header("Content-Type", "application/json")
                    .header(CONTROLLER, controller)
                    .head(body.length),
            ByteBuffer.wrap(body)
        };
    }

    /**
     * The first output of an infer answer; null where it is malformed or carries the id of another
     * call.
     */
    public static Served answer(HttpMessage m, String id) {
        int jsonLength = jsonBytes(m);
        if (jsonLength < 0) {
            return null;
        }
        try (JsonParser json = JSON.createParser(m.content().slice(0, jsonLength).array())) {
            return output(json, m.content(), jsonLength, id);
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * The whole of an infer answer, for a client that asked in this protocol; null where it is
     * none. Of a long JSON part only the beginning is looked at: tensors in it are its client's to
     * read.
     */
    public static Served whole(HttpMessage m) {
        int jsonLength = jsonBytes(m);
        String type = m.header("content-type");
        return jsonLength < 0 || !isAnswer(m.content(), jsonLength)
                ? null
                : new Served(
                        type == null ? "application/json" : type,
                        m.content(),
                        jsonLength < m.content().size() ? jsonLength : -1);
    }

    private static boolean isAnswer(Bytes body, int jsonLength) {
        if (jsonLength <= READ_WHOLE) {
            try (JsonParser json = JSON.createParser(body.slice(0, jsonLength).array())) {
                boolean outputs = false;
                boolean object = json.nextToken() == JsonToken.START_OBJECT;
                while (object && json.nextToken() == JsonToken.FIELD_NAME) {
                    boolean named = json.currentName().equals("outputs");
                    outputs |= json.nextToken() == JsonToken.START_ARRAY && named;
                    json.skipChildren();
                }
                return outputs && json.currentToken() == JsonToken.END_OBJECT;
            } catch (IOException e) {
                return false;
            }
        }
        for (byte b : body.slice(0, Math.min(jsonLength, 64)).array()) {
            if (b != ' ' && b != '\n' && b != '\r' && b != '\t') {
                return b == '{';
            }
        }
        return false;
    }

    /**
     * The length of a message's JSON part, the whole where none is told; -1 where what is told
     * cannot be.
     */
    public static int jsonBytes(HttpMessage m) {
        String given = m.header(JSON_LENGTH.toLowerCase(Locale.ROOT));
        if (given == null) {
            return Math.toIntExact(m.content().size());
        }
        return given.matches("\\d{1,9}") && Integer.parseInt(given) <= m.content().size()
                ? Integer.parseInt(given)
                : -1;
    }

    private static Served output(JsonParser json, Bytes body, int jsonLength, String id)
            throws IOException {
        Served served = null;
        if (json.nextToken() != JsonToken.START_OBJECT) {
            return null;
        }
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (name.equals("id")
                    && value == JsonToken.VALUE_STRING
                    && !json.getText().equals(id)) {
                return null;
            }
            if (!name.equals("outputs") || value != JsonToken.START_ARRAY || served != null) {
                json.skipChildren();
                continue;
            }
            if (json.nextToken() != JsonToken.START_OBJECT) {
                return null;
            }
            served = tensor(json, body, jsonLength);
            if (served == null) {
                return null;
            }
            while (json.nextToken() != JsonToken.END_ARRAY) {
                json.skipChildren();
            }
        }
        return json.currentToken() == JsonToken.END_OBJECT ? served : null;
    }

    private static Served tensor(JsonParser json, Bytes body, int jsonLength) throws IOException {
        String type = "application/octet-stream";
        long size = -1;
        byte[] data = null;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (name.equals("parameters") && value == JsonToken.START_OBJECT) {
                while (json.nextToken() == JsonToken.FIELD_NAME) {
                    String parameter = json.currentName();
                    JsonToken token = json.nextToken();
                    if (parameter.equals("binary_data_size")
                            && token == JsonToken.VALUE_NUMBER_INT) {
                        size = json.getLongValue();
                    } else if (parameter.equals("content_type")
                            && token == JsonToken.VALUE_STRING) {
                        type = json.getText();
                    } else {
                        json.skipChildren();
                    }
                }
            } else if (name.equals("data") && value == JsonToken.START_ARRAY) {
                if (json.nextToken() == JsonToken.VALUE_STRING) {
                    data = json.getText().getBytes(StandardCharsets.UTF_8);
                    while (json.nextToken() != JsonToken.END_ARRAY) {
                        json.skipChildren();
                    }
                }
            } else {
                json.skipChildren();
            }
        }
        if (size < 0) {
            return data == null ? null : new Served(type, data);
        }
        if (size < 4 || jsonLength + size > body.size()) {
            return null;
        }
        Bytes binary = body.slice(jsonLength, jsonLength + size);
        return binary.cursor().readLittleEndianInt() != size - 4
                ? null
                : new Served(type, binary.slice(4, size), -1);
    }

    /** Copies standing of a function by a repository index; 0 where it is not listed as ready. */
    public static int copies(HttpMessage m, String function) {
        try {
            for (JsonNode each : TREES.readTree(m.body())) {
                if (each.path("name").asText().equals(function)
                        && each.path("state").asText().equals("READY")) {
                    return Math.max(1, each.path("copies").asInt(1));
                }
            }
        } catch (IOException e) {
            return 0;
        }
        return 0;
    }
}
