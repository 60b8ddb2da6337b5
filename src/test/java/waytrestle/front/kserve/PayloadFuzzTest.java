package waytrestle.front.kserve;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.util.Arrays;
import waytrestle.Bytes;
import waytrestle.front.webhook.JsonPointerReader;

/**
 * Fuzzing of both fronts' payload readers; see ParserFuzzTest for how. The first byte says where
 * the JSON ends.
 */
class PayloadFuzzTest {
    @FuzzTest(maxDuration = "60s")
    void arbitraryInferRequestIsValidOrRejectedWithAMessage(byte[] data) {
        if (data.length == 0) {
            return;
        }
        int json = Math.min(data.length - 1, data[0] & 0xFF);
        byte[] body = Arrays.copyOfRange(data, 1, data.length);
        try {
            InferRequestValidator.validate(Bytes.of(body), json);
        } catch (InferRequestValidator.InvalidInferRequestException expected) {
            if (expected.getMessage().isEmpty()) {
                throw new AssertionError("a fault without its reason");
            }
        }
    }

    @FuzzTest(maxDuration = "60s")
    void arbitraryWebhookPayloadIsReadWithoutException(byte[] data) {
        JsonPointerReader.textAt("/data/0/function", data);
    }
}
