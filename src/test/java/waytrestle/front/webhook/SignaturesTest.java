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

/** Signatures, against the specification's public client library and by hand. */
class SignaturesTest {
    private static final String SECRET = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw";
    private static final String OTHER = "whsec_" + Base64.getEncoder().encodeToString(new byte[32]);
    private static final byte[] BODY = "{\"function\":\"é-1\"}".getBytes(StandardCharsets.UTF_8);

    @Test
    void whatThePublicLibrarySignsIsRight() throws Exception {
        long now = System.currentTimeMillis() / 1_000;
        String signed =
                new Webhook(SECRET).sign("msg_1", now, new String(BODY, StandardCharsets.UTF_8));
        Signatures ours = new Signatures(List.of(OTHER, SECRET));
        assertTrue(ours.verify("msg_1", Long.toString(now), BODY, "v1,AAAA " + signed));
        assertFalse(ours.verify("msg_2", Long.toString(now), BODY, signed));
        assertFalse(ours.verify("msg_1", Long.toString(now + 1), BODY, signed));
        byte[] changed = BODY.clone();
        changed[3] ^= 1;
        assertFalse(ours.verify("msg_1", Long.toString(now), changed, signed));
        assertFalse(
                new Signatures(List.of(OTHER)).verify("msg_1", Long.toString(now), BODY, signed));
    }

    @Test
    void thePublicVerifierAgreesOnWhatWeSign() {
        String now = Long.toString(System.currentTimeMillis() / 1_000);
        String right = Signatures.sign(SECRET, "msg_1", now, BODY);
        assertDoesNotThrow(() -> verify(now, right));
        assertThrows(
                WebhookVerificationException.class,
                () -> verify(now, Signatures.sign(OTHER, "msg_1", now, BODY)));
    }

    private static void verify(String now, String signature) throws WebhookVerificationException {
        new Webhook(SECRET)
                .verify(
                        new String(BODY, StandardCharsets.UTF_8),
                        HttpHeaders.of(
                                Map.of(
                                        "webhook-id",
                                        List.of("msg_1"),
                                        "webhook-timestamp",
                                        List.of(now),
                                        "webhook-signature",
                                        List.of(signature)),
                                (a, b) -> true));
    }

    @Test
    void aKeyPairSignsByEd25519() throws Exception {
        KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        byte[] der = pair.getPublic().getEncoded();
        String written =
                "whpk_"
                        + Base64.getEncoder()
                                .encodeToString(
                                        Arrays.copyOfRange(der, der.length - 32, der.length));
        Signature signer = Signature.getInstance("Ed25519");
        signer.initSign(pair.getPrivate());
        signer.update("m.7.".getBytes());
        signer.update(BODY);
        String signature = "v1a," + Base64.getEncoder().encodeToString(signer.sign());
        Signatures ours = new Signatures(List.of(SECRET, written));
        assertTrue(ours.verify("m", "7", BODY, signature));
        assertFalse(ours.verify("m", "8", BODY, signature));
        assertFalse(ours.verify("m", "7", BODY, "v1a,AAAA"), "of the wrong length");
        assertFalse(ours.verify("m", "7", BODY, signature.replace("v1a", "v1")), "of another kind");
    }

    @Test
    void malformedHeadersAreNotRightAndDoNoHarm() {
        Signatures ours = new Signatures(List.of(SECRET));
        for (String header :
                new String[] {"", " ", "v1", "v1,", "v1,***", "v2,AAAA", ",", "v1,AAAA,BBBB"}) {
            assertFalse(ours.verify("m", "7", BODY, header), header);
        }
    }

    @Test
    void theFunctionIsReadAtItsPointer() {
        byte[] body = "{\"a\":{\"b\":[{\"x/y\":\"one\"},7]},\"c\":\"two\"}".getBytes();
        assertEquals("one", JsonPointerReader.textAt("/a/b/0/x~1y", body));
        assertEquals("two", JsonPointerReader.textAt("/c", body));
        assertNull(JsonPointerReader.textAt("/a/b/1", body), "a number is no name");
        assertNull(JsonPointerReader.textAt("/d", body));
        assertNull(JsonPointerReader.textAt("/c", "{\"c\":".getBytes()));
        assertNull(JsonPointerReader.textAt("/c", new byte[0]));
    }
}
