package waytrestle.front.kserve;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.util.Arrays;
import waytrestle.Bytes;
import waytrestle.front.webhook.FunctionPointer;

/**
 * Fuzzing of both fronts' payload readers; see ParserFuzzTest for how. The first byte says where
 * the JSON ends.
 */
class InferFuzzTest {
    @FuzzTest(maxDuration = "60s")
    void anyInferRequestIsTakenOrAFault(byte[] data) {
        if (data.length == 0) {
            return;
        }
        int json = Math.min(data.length - 1, data[0] & 0xFF);
        byte[] body = Arrays.copyOfRange(data, 1, data.length);
        try {
            InferCheck.check(Bytes.of(body), json);
        } catch (InferCheck.Fault expected) {
            if (expected.getMessage().isEmpty()) {
                throw new AssertionError("a fault without its reason");
            }
        }
    }

    @FuzzTest(maxDuration = "60s")
    void anyWebhookPayloadNamesAFunctionOrNone(byte[] data) {
        FunctionPointer.at("/data/0/function", data);
    }
}
