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
 * Validates an infer request of the Open Inference Protocol, whose body is a JSON part followed by
 * the data of its binary tensors. The body is read as a stream and no tensor data is kept, since a
 * valid request is forwarded unchanged.
 *
 * <p>A validator serves one request. Not thread-safe.
 */
final class InferRequestValidator {
    /**
     * The values of a valid request that the front end uses.
     *
     * @param id null if the request has none
     * @param timeoutMicros timeout in microseconds, 0 if the request declares none
     */
    record ValidatedRequest(String id, long timeoutMicros) {}

    /**
     * An infer request is invalid. The message names the invalid field and what is wrong with it.
     */
    static final class InvalidInferRequestException extends Exception {
        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception without a stack trace, since clients may send many invalid requests.
         *
         * @param field path of the invalid field, empty for the request as a whole
         */
        InvalidInferRequestException(String field, String text) {
            super(field.isEmpty() ? text : field + ": " + text, null, false, false);
        }
    }

    /**
     * Size in bytes of a binary element, by datatype; 0 for BYTES, whose elements are each preceded
     * by their own length.
     */
    private static final Map<String, Integer> ELEMENT_BYTES =
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

    /** Limit of the inputs, and of the outputs, of one request. */
    private static final int MAX_TENSORS = 1_024;

    /** Limit of the dimensions of a shape and of the nesting depth of JSON data. */
    private static final int MAX_DIMENSIONS = 32;

    /** An input or output: its declared fields, and a summary of its JSON data. */
    private static final class Tensor {
        String name, datatype;

        /** Number of elements by the shape, -1 without a shape. */
        long shapeElements = -1;

        /** Declared size of the binary data in bytes, -1 for a tensor without binary data. */
        long binaryBytes = -1;

        boolean hasData, hasStrings, hasBooleans, hasIntegers, hasFractions;

        /** Number of elements in the JSON data. */
        long jsonElements;

        /** Bounds of the integers in the JSON data; null without integers. */
        BigInteger smallestInteger, largestInteger;
    }

    private final Bytes body;
    private final int jsonBytes;
    private String id;
    private long timeoutMicros;

    private InferRequestValidator(Bytes body, int jsonBytes) {
        this.body = body;
        this.jsonBytes = jsonBytes;
    }

    /**
     * Validates a request.
     *
     * @param body the JSON part and the binary data that follows it
     * @param jsonBytes length of the JSON part
     */
    static ValidatedRequest validate(Bytes body, int jsonBytes)
            throws InvalidInferRequestException {
        InferRequestValidator validator = new InferRequestValidator(body, jsonBytes);
        try (JsonParser json = JSON.createParser(body.slice(0, jsonBytes).stream())) {
            validator.readRequest(json);
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
        return new ValidatedRequest(validator.id, validator.timeoutMicros);
    }

    private static void expect(JsonParser json, JsonToken token, String field, String expected)
            throws InvalidInferRequestException {
        if (json.currentToken() != token) {
            throw new InvalidInferRequestException(field, "must be " + expected);
        }
    }

    private void readRequest(JsonParser json) throws IOException, InvalidInferRequestException {
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
                case "parameters" -> readParameters(json, "parameters", null);
                case "inputs" -> inputs = readTensors(json, "inputs", true);
                case "outputs" -> readTensors(json, "outputs", false);
                default -> json.skipChildren();
            }
        }
        if (inputs == null || inputs.isEmpty()) {
            throw new InvalidInferRequestException("inputs", "at least one is needed");
        }
        validateBinaryData(inputs);
    }

    private List<Tensor> readTensors(JsonParser json, String listPath, boolean areInputs)
            throws IOException, InvalidInferRequestException {
        expect(json, JsonToken.START_ARRAY, listPath, "an array");
        List<Tensor> tensors = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            String path = listPath + "[" + tensors.size() + "]";
            if (tensors.size() >= MAX_TENSORS) {
                throw new InvalidInferRequestException(
                        listPath, "holds over " + MAX_TENSORS + " tensors");
            }
            expect(json, JsonToken.START_OBJECT, path, "an object");
            Tensor tensor = new Tensor();
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String field = json.currentName();
                json.nextToken();
                switch (field) {
                    case "name" -> {
                        expect(json, JsonToken.VALUE_STRING, path + ".name", "text");
                        tensor.name = json.getText();
                    }
                    case "datatype" -> {
                        expect(json, JsonToken.VALUE_STRING, path + ".datatype", "text");
                        tensor.datatype = json.getText();
                    }
                    case "shape" -> tensor.shapeElements = readShape(json, path + ".shape");
                    case "parameters" -> readParameters(json, path + ".parameters", tensor);
                    case "data" -> {
                        expect(json, JsonToken.START_ARRAY, path + ".data", "an array");
                        tensor.hasData = true;
                        readData(json, path + ".data", tensor, 1);
                    }
                    default -> json.skipChildren();
                }
            }
            if (tensor.name == null || tensor.name.isEmpty()) {
                throw new InvalidInferRequestException(path + ".name", "is missing");
            }
            if (areInputs) {
                validateInput(tensor, path);
            }
            tensors.add(tensor);
        }
        return tensors;
    }

    private static long readShape(JsonParser json, String path)
            throws IOException, InvalidInferRequestException {
        expect(json, JsonToken.START_ARRAY, path, "an array");
        long shapeElements = 1;
        for (int dimensions = 0; json.nextToken() != JsonToken.END_ARRAY; dimensions++) {
            if (dimensions >= MAX_DIMENSIONS) {
                throw new InvalidInferRequestException(
                        path, "has over " + MAX_DIMENSIONS + " dimensions");
            }
            expect(json, JsonToken.VALUE_NUMBER_INT, path, "whole numbers");
            if ((json.getNumberType() != JsonParser.NumberType.INT
                            && json.getNumberType() != JsonParser.NumberType.LONG)
                    || json.getLongValue() < 0) {
                throw new InvalidInferRequestException(
                        path, "a dimension must be from 0 to 9223372036854775807");
            }
            try {
                shapeElements = Math.multiplyExact(shapeElements, json.getLongValue());
            } catch (ArithmeticException e) {
                throw new InvalidInferRequestException(path, "the number of elements overflows");
            }
        }
        return shapeElements;
    }

    /** Reads the parameters of a tensor, or those of the request if the tensor is null. */
    private void readParameters(JsonParser json, String path, Tensor tensor)
            throws IOException, InvalidInferRequestException {
        expect(json, JsonToken.START_OBJECT, path, "an object");
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            boolean isBinarySize = tensor != null && field.equals("binary_data_size");
            boolean isTimeout = tensor == null && field.equals("timeout");
            if (isBinarySize || isTimeout) {
                expect(json, JsonToken.VALUE_NUMBER_INT, path + "." + field, "a whole number");
                if (json.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        || json.getLongValue() < 0) {
                    throw new InvalidInferRequestException(
                            path + "." + field, "must be from 0 to 9223372036854775807");
                }
                if (isBinarySize) {
                    tensor.binaryBytes = json.getLongValue();
                } else {
                    timeoutMicros = json.getLongValue();
                }
            } else {
                json.skipChildren();
            }
        }
    }

    /**
     * Counts the elements of a JSON array, flat or nested in row-major order, and records their
     * types and the bounds of the integers.
     */
    private static void readData(JsonParser json, String path, Tensor tensor, int depth)
            throws IOException, InvalidInferRequestException {
        if (depth > MAX_DIMENSIONS) {
            throw new InvalidInferRequestException(
                    path, "is nested over " + MAX_DIMENSIONS + " deep");
        }
        while (json.nextToken() != JsonToken.END_ARRAY) {
            switch (json.currentToken()) {
                case START_ARRAY -> {
                    readData(json, path, tensor, depth + 1);
                    continue;
                }
                case VALUE_STRING -> tensor.hasStrings = true;
                case VALUE_TRUE, VALUE_FALSE -> tensor.hasBooleans = true;
                case VALUE_NUMBER_INT -> {
                    tensor.hasIntegers = true;
                    BigInteger value = json.getBigIntegerValue();
                    tensor.smallestInteger =
                            tensor.smallestInteger == null
                                            || value.compareTo(tensor.smallestInteger) < 0
                                    ? value
                                    : tensor.smallestInteger;
                    tensor.largestInteger =
                            tensor.largestInteger == null
                                            || value.compareTo(tensor.largestInteger) > 0
                                    ? value
                                    : tensor.largestInteger;
                }
                case VALUE_NUMBER_FLOAT -> tensor.hasFractions = true;
                default ->
                        throw new InvalidInferRequestException(
                                path, "holds what is no tensor element");
            }
            tensor.jsonElements++;
        }
    }

    /** Checks an input except for its binary data, which follows the whole JSON part. */
    private static void validateInput(Tensor tensor, String path)
            throws InvalidInferRequestException {
        if (tensor.datatype == null) {
            throw new InvalidInferRequestException(path + ".datatype", "is missing");
        }
        if (!ELEMENT_BYTES.containsKey(tensor.datatype)) {
            throw new InvalidInferRequestException(
                    path + ".datatype", "is unknown: " + tensor.datatype);
        }
        if (tensor.shapeElements < 0) {
            throw new InvalidInferRequestException(path + ".shape", "is missing");
        }
        if (tensor.hasData == tensor.binaryBytes >= 0) {
            throw new InvalidInferRequestException(
                    path, "needs either data or parameters.binary_data_size");
        }
        if (tensor.binaryBytes >= 0) {
            return;
        }
        if (tensor.jsonElements != tensor.shapeElements) {
            throw new InvalidInferRequestException(
                    path + ".data",
                    "holds "
                            + tensor.jsonElements
                            + " elements where the shape has "
                            + tensor.shapeElements);
        }
        boolean isBytes = tensor.datatype.equals("BYTES");
        boolean isBoolean = tensor.datatype.equals("BOOL");
        boolean isFloat = tensor.datatype.startsWith("FP");
        boolean hasWrongElements =
                (tensor.hasStrings && !isBytes)
                        || (tensor.hasBooleans && !isBoolean)
                        || (tensor.hasFractions && !isFloat)
                        || (tensor.hasIntegers && (isBytes || isBoolean))
                        || tensor.datatype.equals("BF16");
        if (hasWrongElements) {
            throw new InvalidInferRequestException(
                    path + ".data",
                    tensor.datatype.equals("BF16")
                            ? "BF16 is only sent as binary"
                            : "holds elements that are not " + tensor.datatype);
        }
        if (tensor.hasIntegers && !isFloat) {
            int bits = 8 * ELEMENT_BYTES.get(tensor.datatype);
            boolean isSigned = tensor.datatype.startsWith("INT");
            BigInteger largestInteger =
                    BigInteger.ONE.shiftLeft(isSigned ? bits - 1 : bits).subtract(BigInteger.ONE);
            BigInteger smallestInteger =
                    isSigned ? largestInteger.negate().subtract(BigInteger.ONE) : BigInteger.ZERO;
            if (tensor.smallestInteger.compareTo(smallestInteger) < 0
                    || tensor.largestInteger.compareTo(largestInteger) > 0) {
                throw new InvalidInferRequestException(
                        path + ".data", "holds a number beyond " + tensor.datatype);
            }
        }
    }

    /**
     * Checks that the binary data of the inputs, in their order, takes up exactly the part of the
     * body after the JSON part.
     */
    private void validateBinaryData(List<Tensor> inputs) throws InvalidInferRequestException {
        Bytes.Cursor cursor = body.slice(jsonBytes, body.size()).cursor();
        for (int i = 0; i < inputs.size(); i++) {
            Tensor tensor = inputs.get(i);
            if (tensor.binaryBytes < 0) {
                continue;
            }
            String path = "inputs[" + i + "].parameters.binary_data_size";
            if (tensor.binaryBytes > cursor.remaining()) {
                throw new InvalidInferRequestException(
                        path,
                        "tells "
                                + tensor.binaryBytes
                                + " bytes where "
                                + cursor.remaining()
                                + " follow");
            }
            int elementBytes = ELEMENT_BYTES.get(tensor.datatype);
            if (elementBytes > 0) {
                if (tensor.shapeElements > tensor.binaryBytes
                        || tensor.shapeElements * elementBytes != tensor.binaryBytes) {
                    throw new InvalidInferRequestException(
                            path,
                            "is "
                                    + tensor.binaryBytes
                                    + " where the shape of "
                                    + tensor.datatype
                                    + " needs "
                                    + (tensor.shapeElements > Long.MAX_VALUE / elementBytes
                                            ? "more than can be"
                                            : tensor.shapeElements * elementBytes));
                }
                cursor.skip(tensor.binaryBytes);
                continue;
            }
            long remainingAfterTensor = cursor.remaining() - tensor.binaryBytes;
            for (long element = 0; element < tensor.shapeElements; element++) {
                if (cursor.remaining() - remainingAfterTensor < 4) {
                    throw new InvalidInferRequestException(
                            path, "ends before element " + element + " of " + tensor.shapeElements);
                }
                long length = cursor.readLittleEndianInt() & 0xFFFFFFFFL;
                if (length > cursor.remaining() - remainingAfterTensor) {
                    throw new InvalidInferRequestException(
                            path, "element " + element + " is longer than what is left");
                }
                cursor.skip(length);
            }
            if (cursor.remaining() != remainingAfterTensor) {
                throw new InvalidInferRequestException(
                        path,
                        "holds more than the " + tensor.shapeElements + " elements of the shape");
            }
        }
        if (cursor.remaining() > 0) {
            throw new InvalidInferRequestException(
                    "", cursor.remaining() + " bytes follow that belong to no input");
        }
    }
}
