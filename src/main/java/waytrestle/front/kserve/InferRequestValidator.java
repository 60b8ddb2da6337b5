package waytrestle.front.kserve;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import waytrestle.Bytes;

/**
 * Reads an infer request of the Open Inference Protocol as a stream, JSON and binary tensors, and
 * says by field what is wrong with it. It keeps no tensor: what is right is passed on as it came.
 */
final class InferRequestValidator {
    /** What the front needs of a request; timeout in micros, 0 untold. */
    record ValidatedRequest(String id, long timeoutMicros) {}

    /** A fault, naming its field. */
    static final class InvalidInferRequestException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidInferRequestException(String field, String text) {
            super(field.isEmpty() ? text : field + ": " + text, null, false, false);
        }
    }

    /** Bytes of an element; 0 for BYTES, whose elements tell their own. */
    private static final Map<String, Integer> SIZES =
            Map.ofEntries(
                    Map.entry("BOOL", 1),
                    Map.entry("UINT8", 1),
                    Map.entry("UINT16", 2),
                    Map.entry("UINT32", 4),
                    Map.entry("UINT64", 8),
                    Map.entry("INT8", 1),
                    Map.entry("INT16", 2),
                    Map.entry("INT32", 4),
                    Map.entry("INT64", 8),
                    Map.entry("FP16", 2),
                    Map.entry("BF16", 2),
                    Map.entry("FP32", 4),
                    Map.entry("FP64", 8),
                    Map.entry("BYTES", 0));

    private static final JsonFactory JSON = new JsonFactory();
    private static final int TENSORS = 1_024; // inputs or outputs of one request
    private static final int DEPTH = 32; // of nested arrays, and dimensions of a shape

    private static final class Tensor {
        String name, type;
        long elements = -1;
        long binary = -1;
        boolean data, strings, flags, numbers, fractions;
        long count;
        BigInteger least, most;
    }

    private final Bytes body;
    private final int jsonBytes;
    private String id;
    private long timeout;

    private InferRequestValidator(Bytes body, int jsonBytes) {
        this.body = body;
        this.jsonBytes = jsonBytes;
    }

    static ValidatedRequest validate(Bytes body, int jsonBytes)
            throws InvalidInferRequestException {
        InferRequestValidator check = new InferRequestValidator(body, jsonBytes);
        try (JsonParser json = JSON.createParser(body.slice(0, jsonBytes).stream())) {
            check.request(json);
            if (json.nextToken() != null) {
                throw new InvalidInferRequestException("", "text follows the JSON object");
            }
        } catch (JsonProcessingException e) {
            throw new InvalidInferRequestException(
                    "",
                    "not JSON: "
                            + e.getOriginalMessage()
                            + " at byte "
                            + e.getLocation().getByteOffset());
        } catch (IOException e) {
            throw new InvalidInferRequestException("", "not JSON");
        }
        return new ValidatedRequest(check.id, check.timeout);
    }

    private static void expect(JsonParser json, JsonToken token, String field, String what)
            throws InvalidInferRequestException {
        if (json.currentToken() != token) {
            throw new InvalidInferRequestException(field, "must be " + what);
        }
    }

    private void request(JsonParser json) throws IOException, InvalidInferRequestException {
        json.nextToken();
        expect(json, JsonToken.START_OBJECT, "", "a JSON object");
        List<Tensor> inputs = null;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "id" -> {
                    expect(json, JsonToken.VALUE_STRING, "id", "text");
                    id = json.getText();
                }
                case "parameters" -> parameters(json, "parameters", null);
                case "inputs" -> inputs = tensors(json, "inputs", true);
                case "outputs" -> tensors(json, "outputs", false);
                default -> json.skipChildren();
            }
        }
        if (inputs == null || inputs.isEmpty()) {
            throw new InvalidInferRequestException("inputs", "at least one is needed");
        }
        binaries(inputs);
    }

    private List<Tensor> tensors(JsonParser json, String list, boolean inputs)
            throws IOException, InvalidInferRequestException {
        expect(json, JsonToken.START_ARRAY, list, "an array");
        List<Tensor> all = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            String at = list + "[" + all.size() + "]";
            if (all.size() >= TENSORS) {
                throw new InvalidInferRequestException(list, "holds over " + TENSORS + " tensors");
            }
            expect(json, JsonToken.START_OBJECT, at, "an object");
            Tensor t = new Tensor();
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String field = json.currentName();
                json.nextToken();
                switch (field) {
                    case "name" -> {
                        expect(json, JsonToken.VALUE_STRING, at + ".name", "text");
                        t.name = json.getText();
                    }
                    case "datatype" -> {
                        expect(json, JsonToken.VALUE_STRING, at + ".datatype", "text");
                        t.type = json.getText();
                    }
                    case "shape" -> t.elements = shape(json, at + ".shape");
                    case "parameters" -> parameters(json, at + ".parameters", t);
                    case "data" -> {
                        expect(json, JsonToken.START_ARRAY, at + ".data", "an array");
                        t.data = true;
                        data(json, at + ".data", t, 1);
                    }
                    default -> json.skipChildren();
                }
            }
            if (t.name == null || t.name.isEmpty()) {
                throw new InvalidInferRequestException(at + ".name", "is missing");
            }
            if (inputs) {
                input(t, at);
            }
            all.add(t);
        }
        return all;
    }

    private static long shape(JsonParser json, String at)
            throws IOException, InvalidInferRequestException {
        expect(json, JsonToken.START_ARRAY, at, "an array");
        long elements = 1;
        for (int n = 0; json.nextToken() != JsonToken.END_ARRAY; n++) {
            if (n >= DEPTH) {
                throw new InvalidInferRequestException(at, "has over " + DEPTH + " dimensions");
            }
            expect(json, JsonToken.VALUE_NUMBER_INT, at, "whole numbers");
            if ((json.getNumberType() != JsonParser.NumberType.INT
                            && json.getNumberType() != JsonParser.NumberType.LONG)
                    || json.getLongValue() < 0) {
                throw new InvalidInferRequestException(
                        at, "a dimension must be from 0 to 9223372036854775807");
            }
            try {
                elements = Math.multiplyExact(elements, json.getLongValue());
            } catch (ArithmeticException e) {
                throw new InvalidInferRequestException(at, "the number of elements overflows");
            }
        }
        return elements;
    }

    private void parameters(JsonParser json, String at, Tensor t)
            throws IOException, InvalidInferRequestException {
        expect(json, JsonToken.START_OBJECT, at, "an object");
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            boolean size = t != null && field.equals("binary_data_size");
            boolean time = t == null && field.equals("timeout");
            if (size || time) {
                expect(json, JsonToken.VALUE_NUMBER_INT, at + "." + field, "a whole number");
                if (json.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        || json.getLongValue() < 0) {
                    throw new InvalidInferRequestException(
                            at + "." + field, "must be from 0 to 9223372036854775807");
                }
                if (size) {
                    t.binary = json.getLongValue();
                } else {
                    timeout = json.getLongValue();
                }
            } else {
                json.skipChildren();
            }
        }
    }

    /** Elements flat or nested, in the order of rows; they are counted and bounded, not kept. */
    private static void data(JsonParser json, String at, Tensor t, int depth)
            throws IOException, InvalidInferRequestException {
        if (depth > DEPTH) {
            throw new InvalidInferRequestException(at, "is nested over " + DEPTH + " deep");
        }
        while (json.nextToken() != JsonToken.END_ARRAY) {
            switch (json.currentToken()) {
                case START_ARRAY -> {
                    data(json, at, t, depth + 1);
                    continue;
                }
                case VALUE_STRING -> t.strings = true;
                case VALUE_TRUE, VALUE_FALSE -> t.flags = true;
                case VALUE_NUMBER_INT -> {
                    t.numbers = true;
                    BigInteger n = json.getBigIntegerValue();
                    t.least = t.least == null || n.compareTo(t.least) < 0 ? n : t.least;
                    t.most = t.most == null || n.compareTo(t.most) > 0 ? n : t.most;
                }
                case VALUE_NUMBER_FLOAT -> t.fractions = true;
                default ->
                        throw new InvalidInferRequestException(
                                at, "holds what is no tensor element");
            }
            t.count++;
        }
    }

    private static void input(Tensor t, String at) throws InvalidInferRequestException {
        if (t.type == null) {
            throw new InvalidInferRequestException(at + ".datatype", "is missing");
        }
        if (!SIZES.containsKey(t.type)) {
            throw new InvalidInferRequestException(at + ".datatype", "is unknown: " + t.type);
        }
        if (t.elements < 0) {
            throw new InvalidInferRequestException(at + ".shape", "is missing");
        }
        if (t.data == t.binary >= 0) {
            throw new InvalidInferRequestException(
                    at, "needs either data or parameters.binary_data_size");
        }
        if (t.binary >= 0) {
            return;
        }
        if (t.count != t.elements) {
            throw new InvalidInferRequestException(
                    at + ".data",
                    "holds " + t.count + " elements where the shape has " + t.elements);
        }
        boolean bytes = t.type.equals("BYTES");
        boolean flag = t.type.equals("BOOL");
        boolean real = t.type.startsWith("FP");
        boolean wrong =
                (t.strings && !bytes)
                        || (t.flags && !flag)
                        || (t.fractions && !real)
                        || (t.numbers && (bytes || flag))
                        || t.type.equals("BF16");
        if (wrong) {
            throw new InvalidInferRequestException(
                    at + ".data",
                    t.type.equals("BF16")
                            ? "BF16 is only sent as binary"
                            : "holds elements that are not " + t.type);
        }
        if (t.numbers && !real) {
            int bits = 8 * SIZES.get(t.type);
            boolean signed = t.type.startsWith("INT");
            BigInteger most =
                    BigInteger.ONE.shiftLeft(signed ? bits - 1 : bits).subtract(BigInteger.ONE);
            BigInteger least = signed ? most.negate().subtract(BigInteger.ONE) : BigInteger.ZERO;
            if (t.least.compareTo(least) < 0 || t.most.compareTo(most) > 0) {
                throw new InvalidInferRequestException(
                        at + ".data", "holds a number beyond " + t.type);
            }
        }
    }

    /** The binary parts follow the JSON in the order of the inputs and fill the rest exactly. */
    private void binaries(List<Tensor> inputs) throws InvalidInferRequestException {
        Bytes.Cursor cursor = body.slice(jsonBytes, body.size()).cursor();
        for (int i = 0; i < inputs.size(); i++) {
            Tensor t = inputs.get(i);
            if (t.binary < 0) {
                continue;
            }
            String at = "inputs[" + i + "].parameters.binary_data_size";
            if (t.binary > cursor.remaining()) {
                throw new InvalidInferRequestException(
                        at, "tells " + t.binary + " bytes where " + cursor.remaining() + " follow");
            }
            int size = SIZES.get(t.type);
            if (size > 0) {
                if (t.elements > t.binary || t.elements * size != t.binary) {
                    throw new InvalidInferRequestException(
                            at,
                            "is "
                                    + t.binary
                                    + " where the shape of "
                                    + t.type
                                    + " needs "
                                    + (t.elements > Long.MAX_VALUE / size
                                            ? "more than can be"
                                            : t.elements * size));
                }
                cursor.skip(t.binary);
                continue;
            }
            long end = cursor.remaining() - t.binary;
            for (long n = 0; n < t.elements; n++) {
                if (cursor.remaining() - end < 4) {
                    throw new InvalidInferRequestException(
                            at, "ends before element " + n + " of " + t.elements);
                }
                long length = cursor.readLittleEndianInt() & 0xFFFFFFFFL;
                if (length > cursor.remaining() - end) {
                    throw new InvalidInferRequestException(
                            at, "element " + n + " is longer than what is left");
                }
                cursor.skip(length);
            }
            if (cursor.remaining() != end) {
                throw new InvalidInferRequestException(
                        at, "holds more than the " + t.elements + " elements of the shape");
            }
        }
        if (cursor.remaining() > 0) {
            throw new InvalidInferRequestException(
                    "", cursor.remaining() + " bytes follow that belong to no input");
        }
    }
}
