package waytrestle.front.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import waytrestle.Bytes;

/**
 * Tests the validation of infer requests: every datatype as JSON and as binary data, and the field
 * and reason of each rejection. JSON in the tests is written with single quotes.
 */
class InferRequestValidatorTest {
    private static InferRequestValidator.ValidatedRequest validate(String json, byte... binary)
            throws InferRequestValidator.InvalidInferRequestException {
        byte[] jsonPart = json.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        byte[] body = Arrays.copyOf(jsonPart, jsonPart.length + binary.length);
        System.arraycopy(binary, 0, body, jsonPart.length, binary.length);
        return InferRequestValidator.validate(Bytes.of(body), jsonPart.length);
    }

    private static String rejectionMessage(String json, byte... binary) {
        return assertThrows(
                        InferRequestValidator.InvalidInferRequestException.class,
                        () -> validate(json, binary),
                        json)
                .getMessage();
    }

    private static String requestWithInput(String datatype, String shape, String otherFields) {
        return "{'inputs':[{'name':'x','datatype':'"
                + datatype
                + "','shape':"
                + shape
                + ","
                + otherFields
                + "}]}";
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "BOOL;[2];[true,false]",
                "UINT8;[2];[0,255]",
                "UINT16;[1];[65535]",
                "UINT32;[1];[4294967295]",
                "UINT64;[1];[18446744073709551615]",
                "INT8;[2];[-128,127]",
                "INT16;[1];[-32768]",
                "INT32;[1];[2147483647]",
                "INT64;[1];[-9223372036854775808]",
                "FP16;[1];[0.5]",
                "FP32;[2,2];[[1,2.5],[3,4e9]]",
                "FP64;[1];[-1e300]",
                "BYTES;[2,1];[['a'],['']]",
                "FP32;[0];[]",
                "INT8;[];[7]"
            })
    void jsonDataOfEveryDatatypeIsValidInAnyFieldOrder(String datatype, String shape, String data)
            throws Exception {
        validate(requestWithInput(datatype, shape, "'data':" + data));
        validate(
                "{'inputs':[{'data':"
                        + data
                        + ",'shape':"
                        + shape
                        + ",'name':'x','datatype':'"
                        + datatype
                        + "'}]}");
    }

    @ParameterizedTest
    @CsvSource({"BOOL,1", "UINT8,1", "INT16,2", "FP16,2", "BF16,2", "FP32,4", "INT64,8", "FP64,8"})
    void binaryDataIsValidOnlyIfItsSizeMatchesTheShape(String datatype, int elementBytes)
            throws Exception {
        validate(
                requestWithInput(
                        datatype,
                        "[3]",
                        "'parameters':{'binary_data_size':" + 3 * elementBytes + "}"),
                new byte[3 * elementBytes]);
        assertTrue(
                rejectionMessage(
                                requestWithInput(
                                        datatype,
                                        "[3]",
                                        "'parameters':{'binary_data_size':"
                                                + (3 * elementBytes + 1)
                                                + "}"),
                                new byte[3 * elementBytes + 1])
                        .startsWith(
                                "inputs[0].parameters.binary_data_size: is "
                                        + (3 * elementBytes + 1)));
    }

    @Test
    void requestWithJsonAndBinaryInputsIsValidAndItsIdAndTimeoutAreRead() throws Exception {
        InferRequestValidator.ValidatedRequest validated =
                validate(
                        "{'id':'r7','parameters':{'timeout':250000,'x':{'y':[1]}},'inputs':["
                            + "{'name':'a','datatype':'BYTES','shape':[2],'parameters':{'binary_data_size':9}},"
                            + "{'name':'b','datatype':'INT8','shape':[1],'data':[1]},"
                            + "{'name':'c','datatype':'INT16','shape':[1],'parameters':{'binary_data_size':2}}],"
                            + "'outputs':[{'name':'o','parameters':{'binary_data':true}}],'other':[{}]}",
                        (byte) 1,
                        (byte) 0,
                        (byte) 0,
                        (byte) 0,
                        (byte) 'z',
                        (byte) 0,
                        (byte) 0,
                        (byte) 0,
                        (byte) 0,
                        (byte) 5,
                        (byte) 6);
        assertEquals("r7", validated.id());
        assertEquals(250_000, validated.timeoutMicros());
    }

    @Test
    void invalidRequestIsRejectedWithItsFieldAndReason() {
        assertEquals("inputs: at least one is needed", rejectionMessage("{'inputs':[]}"));
        assertEquals("inputs: at least one is needed", rejectionMessage("{}"));
        assertEquals("must be a JSON object", rejectionMessage("[]"));
        assertTrue(rejectionMessage("{'inputs':").startsWith("not JSON"));
        assertTrue(
                rejectionMessage(requestWithInput("INT8", "[1]", "'data':[1]") + " x")
                        .startsWith("not JSON"));
        assertEquals("id: must be text", rejectionMessage("{'id':7}"));
        assertEquals(
                "inputs[0].datatype: is unknown: INT9",
                rejectionMessage(requestWithInput("INT9", "[1]", "'data':[1]")));
        assertEquals(
                "inputs[0].data: holds 1 elements where the shape has 6",
                rejectionMessage(requestWithInput("INT8", "[2,3]", "'data':[1]")));
        assertEquals(
                "inputs[0].shape: the number of elements overflows",
                rejectionMessage(
                        requestWithInput("INT8", "[4294967296,4294967296]", "'data':[1]")));
        assertTrue(
                rejectionMessage(requestWithInput("INT8", "[-1]", "'data':[1]"))
                        .startsWith("inputs[0].shape: a dimension must be"));
        assertTrue(
                rejectionMessage(requestWithInput("INT8", "[99999999999999999999]", "'data':[1]"))
                        .startsWith("inputs[0].shape"));
        assertEquals(
                "inputs[0].shape: must be whole numbers",
                rejectionMessage(requestWithInput("INT8", "[1.5]", "'data':[1]")));
        assertEquals(
                "inputs[0].data: holds a number beyond UINT8",
                rejectionMessage(requestWithInput("UINT8", "[1]", "'data':[256]")));
        assertEquals(
                "inputs[0].data: holds a number beyond UINT64",
                rejectionMessage(requestWithInput("UINT64", "[1]", "'data':[-1]")));
        assertEquals(
                "inputs[0].data: holds elements that are not BOOL",
                rejectionMessage(requestWithInput("BOOL", "[1]", "'data':[1]")));
        assertEquals(
                "inputs[0].data: holds elements that are not INT8",
                rejectionMessage(requestWithInput("INT8", "[1]", "'data':[1.5]")));
        assertEquals(
                "inputs[0].data: holds what is no tensor element",
                rejectionMessage(requestWithInput("INT8", "[1]", "'data':[null]")));
        assertEquals(
                "inputs[0].data: is nested over 32 deep",
                rejectionMessage(requestWithInput("INT8", "[1]", "'data':" + "[".repeat(40))));
        assertEquals(
                "inputs[0]: needs either data or parameters.binary_data_size",
                rejectionMessage(
                        requestWithInput(
                                "INT8", "[1]", "'data':[1],'parameters':{'binary_data_size':1}"),
                        (byte) 1));
        assertEquals(
                "inputs[0].name: is missing",
                rejectionMessage("{'inputs':[{'datatype':'INT8','shape':[1],'data':[1]}]}"));
        assertEquals(
                "inputs[0].parameters.binary_data_size: tells 9 bytes where 1 follow",
                rejectionMessage(
                        requestWithInput("INT8", "[9]", "'parameters':{'binary_data_size':9}"),
                        (byte) 1));
        assertEquals(
                "2 bytes follow that belong to no input",
                rejectionMessage(
                        requestWithInput("INT8", "[1]", "'data':[1]"), (byte) 1, (byte) 2));
        assertEquals(
                "inputs[0].parameters.binary_data_size: element 0 is longer than what is left",
                rejectionMessage(
                        requestWithInput("BYTES", "[1]", "'parameters':{'binary_data_size':5}"),
                        (byte) 9,
                        (byte) 0,
                        (byte) 0,
                        (byte) 0,
                        (byte) 1));
        assertEquals(
                "inputs[0].parameters.binary_data_size: element 0 is longer than what is left",
                rejectionMessage(
                        requestWithInput("BYTES", "[1]", "'parameters':{'binary_data_size':4}"),
                        (byte) -1,
                        (byte) -1,
                        (byte) -1,
                        (byte) -1));
        assertTrue(
                rejectionMessage(
                                requestWithInput(
                                        "FP64",
                                        "[2305843009213693952]",
                                        "'parameters':{'binary_data_size':8}"),
                                new byte[8])
                        .contains("where the shape of FP64 needs"));
    }

    /**
     * Overwrites up to 3 random bytes of a valid request. Guards against other exceptions than the
     * one for invalid requests, and against results that depend on where the body is segmented.
     */
    @Property(tries = 1_500, seed = "7")
    void corruptedRequestHasTheSameResultInOneAndInTwoSegments(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] body =
                requestWithInput("BYTES", "[2]", "'parameters':{'binary_data_size':10}")
                        .replace('\'', '"')
                        .getBytes();
        int jsonBytes = body.length;
        body = Arrays.copyOf(body, jsonBytes + 10);
        body[jsonBytes] = 1;
        for (int i = random.nextInt(4); i > 0; i--) {
            body[random.nextInt(body.length)] = (byte) random.nextInt(256);
        }
        String unsegmentedResult = result(Bytes.of(body), jsonBytes);
        int segmentBoundary = 1 + random.nextInt(body.length - 1);
        assertEquals(
                unsegmentedResult,
                result(
                        Bytes.of(
                                List.of(
                                        Arrays.copyOf(body, segmentBoundary),
                                        Arrays.copyOfRange(body, segmentBoundary, body.length)),
                                body.length - segmentBoundary),
                        jsonBytes));
    }

    private static String result(Bytes body, int jsonBytes) {
        try {
            return String.valueOf(InferRequestValidator.validate(body, jsonBytes));
        } catch (InferRequestValidator.InvalidInferRequestException e) {
            return e.getMessage();
        }
    }
}
