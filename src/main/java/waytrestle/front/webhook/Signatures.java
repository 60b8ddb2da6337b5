package waytrestle.front.webhook;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.MessageDigest;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.X509EncodedKeySpec;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import waytrestle.config.SecretFormat;

/**
 * Verifies signatures of the Standard Webhooks specification against the secrets of an endpoint. A
 * signature covers {@code id.timestamp.body}; {@code v1} signatures use HMAC-SHA256, {@code v1a}
 * signatures use Ed25519. A message is accepted if any signature of its header matches any secret
 * of the endpoint, so that secrets can be rotated without rejecting messages. HMAC signatures are
 * compared in constant time.
 *
 * <p>Immutable.
 */
public final class Signatures {
    /** DER encoding of an Ed25519 public key up to the 32 bytes of the key itself. */
    private static final byte[] ED25519_DER_PREFIX = {
        0x30, 0x2a, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x03, 0x21, 0x00
    };

    /** Limit of the signatures verified of one header, since each costs CPU time. */
    private static final int MAX_SIGNATURES = 16;

    private final List<SecretKeySpec> hmacSecrets = new ArrayList<>();
    private final List<PublicKey> ed25519Keys = new ArrayList<>();

    /**
     * Creates a verifier.
     *
     * @param encodedSecrets the endpoint's secrets in their written form: HMAC secrets prefixed
     *     with {@code whsec_}, Ed25519 public keys with {@code whpk_}
     */
    public Signatures(List<String> encodedSecrets) {
        for (String secret : encodedSecrets) {
            byte[] key = SecretFormat.decodeKey(secret);
            if (secret.startsWith(SecretFormat.HMAC_PREFIX)) {
                hmacSecrets.add(new SecretKeySpec(key, "HmacSHA256"));
                continue;
            }
            byte[] der = new byte[ED25519_DER_PREFIX.length + key.length];
            System.arraycopy(ED25519_DER_PREFIX, 0, der, 0, ED25519_DER_PREFIX.length);
            System.arraycopy(key, 0, der, ED25519_DER_PREFIX.length, key.length);
            try {
                ed25519Keys.add(
                        KeyFactory.getInstance("Ed25519")
                                .generatePublic(new X509EncodedKeySpec(der)));
            } catch (GeneralSecurityException e) {
                throw new IllegalArgumentException("a whpk_ key is not an Ed25519 key", e);
            }
        }
    }

    /**
     * Returns whether a signature in the header is valid for the id, timestamp and body.
     *
     * @param header signatures separated by spaces, each a version, a comma and base64
     */
    public boolean verify(String id, String timestamp, byte[] body, String header) {
        byte[] prefix = (id + "." + timestamp + ".").getBytes(StandardCharsets.UTF_8);
        String[] signatures = header.trim().split(" +");
        boolean matches = false;
        for (int i = 0; i < signatures.length && i < MAX_SIGNATURES; i++) {
            int comma = signatures[i].indexOf(',');
            if (comma < 0) {
                continue;
            }
            byte[] signature;
            try {
                signature = Base64.getDecoder().decode(signatures[i].substring(comma + 1));
            } catch (IllegalArgumentException e) {
                continue;
            }
            switch (signatures[i].substring(0, comma)) {
                case "v1" -> matches |= matchesHmac(prefix, body, signature);
                case "v1a" -> matches |= matchesEd25519(prefix, body, signature);
                default -> {} // the specification requires unknown versions to be skipped
            }
        }
        return matches;
    }

    private boolean matchesHmac(byte[] prefix, byte[] body, byte[] signature) {
        boolean matches = false;
        for (SecretKeySpec secret : hmacSecrets) {
            matches |= MessageDigest.isEqual(hmacOf(secret, prefix, body), signature);
        }
        return matches;
    }

    private boolean matchesEd25519(byte[] prefix, byte[] body, byte[] signature) {
        boolean matches = false;
        for (PublicKey key : ed25519Keys) {
            try {
                Signature verifier = Signature.getInstance("Ed25519");
                verifier.initVerify(key);
                verifier.update(prefix);
                verifier.update(body);
                matches |= verifier.verify(signature);
            } catch (GeneralSecurityException e) {
                matches |= false; // a signature of the wrong length or format is invalid
            }
        }
        return matches;
    }

    private static byte[] hmacOf(SecretKeySpec secret, byte[] prefix, byte[] body) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(secret);
            mac.update(prefix);
            return mac.doFinal(body);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the Java runtime does not provide HmacSHA256", e);
        }
    }

    /** Returns the {@code v1} signature that a client sends, made with a {@code whsec_} secret. */
    public static String sign(String secret, String id, String timestamp, byte[] body) {
        byte[] prefix = (id + "." + timestamp + ".").getBytes(StandardCharsets.UTF_8);
        return "v1,"
                + Base64.getEncoder()
                        .encodeToString(
                                hmacOf(
                                        new SecretKeySpec(
                                                SecretFormat.decodeKey(secret), "HmacSHA256"),
                                        prefix,
                                        body));
    }
}
