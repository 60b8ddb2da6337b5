package waytrestle.front.kserve;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.util.Arrays;
import waytrestle.Bytes;
import waytrestle.front.webhook.JsonPointerReader;

/**
 * Fuzzes the payload readers of the KServe and the webhook front end; {@code ParserFuzzTest} says
 * how fuzz tests are run. For infer requests, the first byte of the input is the length of the JSON
 * part and the remaining bytes are the body.
 */
class PayloadFuzzTest {
    @FuzzTest(maxDuration = "60s")
    void arbitraryInferRequestIsValidOrRejectedWithAMessage(byte[] data) {
        if (data.length == 0) {
            return;
        }
        int jsonBytes = Math.min(data.length - 1, data[0] & 0xFF);
        byte[] body = Arrays.copyOfRange(data, 1, data.length);
        try {
            InferRequestValidator.validate(Bytes.of(body), jsonBytes);
        } catch (InferRequestValidator.InvalidInferRequestException invalidRequest) {
            if (invalidRequest.getMessage().isEmpty()) {
                throw new AssertionError("an invalid request was rejected without a message");
            }
        }
    }

    @FuzzTest(maxDuration = "60s")
    void arbitraryWebhookPayloadIsReadWithoutException(byte[] data) {
        JsonPointerReader.textAt("/data/0/function", data);
    }
}
