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

/** Infer requests: every datatype, both forms, and faults told by their field. */
class InferRequestValidatorTest {
    private static InferRequestValidator.ValidatedRequest check(String json, byte... binary)
            throws InferRequestValidator.InvalidInferRequestException {
        byte[] head = json.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        byte[] all = Arrays.copyOf(head, head.length + binary.length);
        System.arraycopy(binary, 0, all, head.length, binary.length);
        return InferRequestValidator.validate(Bytes.of(all), head.length);
    }

    private static String fault(String json, byte... binary) {
        return assertThrows(
                        InferRequestValidator.InvalidInferRequestException.class,
                        () -> check(json, binary),
                        json)
                .getMessage();
    }

    private static String input(String type, String shape, String rest) {
        return "{'inputs':[{'name':'x','datatype':'"
                + type
                + "','shape':"
                + shape
                + ","
                + rest
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
    void everyDatatypeIsTakenAsJson(String type, String shape, String data) throws Exception {
        check(input(type, shape, "'data':" + data));
        check(
                "{'inputs':[{'data':"
                        + data
                        + ",'shape':"
                        + shape
                        + ",'name':'x','datatype':'"
                        + type
                        + "'}]}");
    }

    @ParameterizedTest
    @CsvSource({"BOOL,1", "UINT8,1", "INT16,2", "FP16,2", "BF16,2", "FP32,4", "INT64,8", "FP64,8"})
    void everyDatatypeIsTakenAsBinary(String type, int size) throws Exception {
        check(
                input(type, "[3]", "'parameters':{'binary_data_size':" + 3 * size + "}"),
                new byte[3 * size]);
        assertTrue(
                fault(
                                input(
                                        type,
                                        "[3]",
                                        "'parameters':{'binary_data_size':" + (3 * size + 1) + "}"),
                                new byte[3 * size + 1])
                        .startsWith("inputs[0].parameters.binary_data_size: is " + (3 * size + 1)));
    }

    @Test
    void jsonAndBinaryInputsMixAndParametersAreRead() throws Exception {
        InferRequestValidator.ValidatedRequest c =
                check(
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
        assertEquals("r7", c.id());
        assertEquals(250_000, c.timeoutMicros());
    }

    @Test
    void faultsNameTheirField() {
        assertEquals("inputs: at least one is needed", fault("{'inputs':[]}"));
        assertEquals("inputs: at least one is needed", fault("{}"));
        assertEquals("must be a JSON object", fault("[]"));
        assertTrue(fault("{'inputs':").startsWith("not JSON"));
        assertTrue(fault(input("INT8", "[1]", "'data':[1]") + " x").startsWith("not JSON"));
        assertEquals("id: must be text", fault("{'id':7}"));
        assertEquals(
                "inputs[0].datatype: is unknown: INT9", fault(input("INT9", "[1]", "'data':[1]")));
        assertEquals(
                "inputs[0].data: holds 1 elements where the shape has 6",
                fault(input("INT8", "[2,3]", "'data':[1]")));
        assertEquals(
                "inputs[0].shape: the number of elements overflows",
                fault(input("INT8", "[4294967296,4294967296]", "'data':[1]")));
        assertTrue(
                fault(input("INT8", "[-1]", "'data':[1]"))
                        .startsWith("inputs[0].shape: a dimension must be"));
        assertTrue(
                fault(input("INT8", "[99999999999999999999]", "'data':[1]"))
                        .startsWith("inputs[0].shape"));
        assertEquals(
                "inputs[0].shape: must be whole numbers",
                fault(input("INT8", "[1.5]", "'data':[1]")));
        assertEquals(
                "inputs[0].data: holds a number beyond UINT8",
                fault(input("UINT8", "[1]", "'data':[256]")));
        assertEquals(
                "inputs[0].data: holds a number beyond UINT64",
                fault(input("UINT64", "[1]", "'data':[-1]")));
        assertEquals(
                "inputs[0].data: holds elements that are not BOOL",
                fault(input("BOOL", "[1]", "'data':[1]")));
        assertEquals(
                "inputs[0].data: holds elements that are not INT8",
                fault(input("INT8", "[1]", "'data':[1.5]")));
        assertEquals(
                "inputs[0].data: holds what is no tensor element",
                fault(input("INT8", "[1]", "'data':[null]")));
        assertEquals(
                "inputs[0].data: is nested over 32 deep",
                fault(input("INT8", "[1]", "'data':" + "[".repeat(40))));
        assertEquals(
                "inputs[0]: needs either data or parameters.binary_data_size",
                fault(
                        input("INT8", "[1]", "'data':[1],'parameters':{'binary_data_size':1}"),
                        (byte) 1));
        assertEquals(
                "inputs[0].name: is missing",
                fault("{'inputs':[{'datatype':'INT8','shape':[1],'data':[1]}]}"));
        assertEquals(
                "inputs[0].parameters.binary_data_size: tells 9 bytes where 1 follow",
                fault(input("INT8", "[9]", "'parameters':{'binary_data_size':9}"), (byte) 1));
        assertEquals(
                "2 bytes follow that belong to no input",
                fault(input("INT8", "[1]", "'data':[1]"), (byte) 1, (byte) 2));
        assertEquals(
                "inputs[0].parameters.binary_data_size: element 0 is longer than what is left",
                fault(
                        input("BYTES", "[1]", "'parameters':{'binary_data_size':5}"),
                        (byte) 9,
                        (byte) 0,
                        (byte) 0,
                        (byte) 0,
                        (byte) 1));
        assertEquals(
                "inputs[0].parameters.binary_data_size: element 0 is longer than what is left",
                fault(
                        input("BYTES", "[1]", "'parameters':{'binary_data_size':4}"),
                        (byte) -1,
                        (byte) -1,
                        (byte) -1,
                        (byte) -1));
        assertTrue(
                fault(
                                input(
                                        "FP64",
                                        "[2305843009213693952]",
                                        "'parameters':{'binary_data_size':8}"),
                                new byte[8])
                        .contains("where the shape of FP64 needs"));
    }

    /** Whatever bytes come: taken or a fault, never another end, and the same over any segments. */
    @Property(tries = 1_500, seed = "7")
    void anyBytesAreTakenOrAFault(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] all =
                input("BYTES", "[2]", "'parameters':{'binary_data_size':10}")
                        .replace('\'', '"')
                        .getBytes();
        int json = all.length;
        all = Arrays.copyOf(all, json + 10);
        all[json] = 1;
        for (int i = random.nextInt(4); i > 0; i--) {
            all[random.nextInt(all.length)] = (byte) random.nextInt(256);
        }
        String whole = end(Bytes.of(all), json);
        int cut = 1 + random.nextInt(all.length - 1);
        assertEquals(
                whole,
                end(
                        Bytes.of(
                                List.of(
                                        Arrays.copyOf(all, cut),
                                        Arrays.copyOfRange(all, cut, all.length)),
                                all.length - cut),
                        json));
    }

    private static String end(Bytes body, int json) {
        try {
            return String.valueOf(InferRequestValidator.validate(body, json));
        } catch (InferRequestValidator.InvalidInferRequestException e) {
            return e.getMessage();
        }
    }
}
