package waytrestle.front.webhook;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.standardwebhooks.Webhook;
import com.standardwebhooks.exceptions.WebhookVerificationException;
import java.net.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.Signature;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests webhook signatures against the reference library of the Standard Webhooks specification,
 * or, for Ed25519, against signatures made with the Java runtime; also tests the reading of a
 * function name from a payload.
 */
class SignaturesTest {
    private static final String SECRET = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw";
    private static final String OTHER_SECRET =
            "whsec_" + Base64.getEncoder().encodeToString(new byte[32]);
    private static final byte[] BODY = "{\"function\":\"é-1\"}".getBytes(StandardCharsets.UTF_8);

    @Test
    void signatureOfReferenceLibraryIsValidOnlyForItsIdTimestampBodyAndSecret() throws Exception {
        long now = System.currentTimeMillis() / 1_000;
        String signature =
                new Webhook(SECRET).sign("msg_1", now, new String(BODY, StandardCharsets.UTF_8));
        Signatures signatures = new Signatures(List.of(OTHER_SECRET, SECRET));
        assertTrue(signatures.verify("msg_1", Long.toString(now), BODY, "v1,AAAA " + signature));
        assertFalse(signatures.verify("msg_2", Long.toString(now), BODY, signature));
        assertFalse(signatures.verify("msg_1", Long.toString(now + 1), BODY, signature));
        byte[] changedBody = BODY.clone();
        changedBody[3] ^= 1;
        assertFalse(signatures.verify("msg_1", Long.toString(now), changedBody, signature));
        assertFalse(
                new Signatures(List.of(OTHER_SECRET))
                        .verify("msg_1", Long.toString(now), BODY, signature));
    }

    @Test
    void referenceLibraryAcceptsSignatureOnlyOfItsOwnSecret() {
        String now = Long.toString(System.currentTimeMillis() / 1_000);
        String validSignature = Signatures.sign(SECRET, "msg_1", now, BODY);
        assertDoesNotThrow(() -> verifyByReferenceLibrary(now, validSignature));
        assertThrows(
                WebhookVerificationException.class,
                () ->
                        verifyByReferenceLibrary(
                                now, Signatures.sign(OTHER_SECRET, "msg_1", now, BODY)));
    }

    private static void verifyByReferenceLibrary(String timestamp, String signature)
            throws WebhookVerificationException {
        new Webhook(SECRET)
                .verify(
                        new String(BODY, StandardCharsets.UTF_8),
                        HttpHeaders.of(
                                Map.of(
                                        "webhook-id",
                                        List.of("msg_1"),
                                        "webhook-timestamp",
                                        List.of(timestamp),
                                        "webhook-signature",
                                        List.of(signature)),
                                (name, value) -> true));
    }

    @Test
    void ed25519SignatureIsValidOnlyForItsTimestampLengthAndVersion() throws Exception {
        KeyPair keyPair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        byte[] der = keyPair.getPublic().getEncoded();
        String encodedKey =
                "whpk_"
                        + Base64.getEncoder()
                                .encodeToString(
                                        Arrays.copyOfRange(der, der.length - 32, der.length));
        Signature signer = Signature.getInstance("Ed25519");
        signer.initSign(keyPair.getPrivate());
        signer.update("m.7.".getBytes());
        signer.update(BODY);
        String signature = "v1a," + Base64.getEncoder().encodeToString(signer.sign());
        Signatures signatures = new Signatures(List.of(SECRET, encodedKey));
        assertTrue(signatures.verify("m", "7", BODY, signature));
        assertFalse(signatures.verify("m", "8", BODY, signature));
        assertFalse(signatures.verify("m", "7", BODY, "v1a,AAAA"), "signature of 3 bytes");
        assertFalse(
                signatures.verify("m", "7", BODY, signature.replace("v1a", "v1")),
                "Ed25519 signature with the version of HMAC signatures");
    }

    @Test
    void malformedSignatureHeaderIsInvalidAndRaisesNoException() {
        Signatures signatures = new Signatures(List.of(SECRET));
        for (String header :
                new String[] {"", " ", "v1", "v1,", "v1,***", "v2,AAAA", ",", "v1,AAAA,BBBB"}) {
            assertFalse(signatures.verify("m", "7", BODY, header), header);
        }
    }

    @Test
    void textAtReturnsStringAtPointerAndOtherwiseNull() {
        byte[] body = "{\"a\":{\"b\":[{\"x/y\":\"one\"},7]},\"c\":\"two\"}".getBytes();
        assertEquals("one", JsonPointerReader.textAt("/a/b/0/x~1y", body));
        assertEquals("two", JsonPointerReader.textAt("/c", body));
        assertNull(JsonPointerReader.textAt("/a/b/1", body), "a number is not a string");
        assertNull(JsonPointerReader.textAt("/d", body));
        assertNull(JsonPointerReader.textAt("/c", "{\"c\":".getBytes()));
        assertNull(JsonPointerReader.textAt("/c", new byte[0]));
    }
}
