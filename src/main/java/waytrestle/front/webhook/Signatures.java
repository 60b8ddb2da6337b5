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
 * Signatures of the Standard Webhooks specification: over {@code id.timestamp.body}, {@code v1} by
 * HMAC-SHA256, {@code v1a} by Ed25519. Any signature of the header may match any secret of the
 * endpoint, so that secrets can be changed without a gap. Comparison takes the same time wherever
 * two signatures differ.
 */
public final class Signatures {
    private static final byte[] ED25519_DER = {
        0x30, 0x2a, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x03, 0x21, 0x00
    };
    private static final int MOST =
            16; // signatures looked at in one header: each costs a computation

    private final List<SecretKeySpec> secrets = new ArrayList<>();
    private final List<PublicKey> keys = new ArrayList<>();

    /** Secrets as written, {@code whsec_} or {@code whpk_}. */
    public Signatures(List<String> written) {
        for (String secret : written) {
            byte[] key = SecretFormat.decodeKey(secret);
            if (secret.startsWith(SecretFormat.HMAC_PREFIX)) {
                secrets.add(new SecretKeySpec(key, "HmacSHA256"));
                continue;
            }
            byte[] der = new byte[ED25519_DER.length + key.length];
            System.arraycopy(ED25519_DER, 0, der, 0, ED25519_DER.length);
            System.arraycopy(key, 0, der, ED25519_DER.length, key.length);
            try {
                keys.add(
                        KeyFactory.getInstance("Ed25519")
                                .generatePublic(new X509EncodedKeySpec(der)));
            } catch (GeneralSecurityException e) {
                throw new IllegalArgumentException("a whpk_ key is not an Ed25519 key", e);
            }
        }
    }

    /** Whether one of the header's signatures is right for these bytes. */
    public boolean verify(String id, String timestamp, byte[] body, String header) {
        byte[] prefix = (id + "." + timestamp + ".").getBytes(StandardCharsets.UTF_8);
        String[] given = header.trim().split(" +");
        boolean right = false;
        for (int i = 0; i < given.length && i < MOST; i++) {
            int comma = given[i].indexOf(',');
            if (comma < 0) {
                continue;
            }
            byte[] signature;
            try {
                signature = Base64.getDecoder().decode(given[i].substring(comma + 1));
            } catch (IllegalArgumentException e) {
                continue;
            }
            switch (given[i].substring(0, comma)) {
                case "v1" -> right |= hmac(prefix, body, signature);
                case "v1a" -> right |= ed25519(prefix, body, signature);
                default -> {} // a version of later, skipped as the specification asks
            }
        }
        return right;
    }

    private boolean hmac(byte[] prefix, byte[] body, byte[] signature) {
        boolean right = false;
        for (SecretKeySpec secret : secrets) {
            right |= MessageDigest.isEqual(sign(secret, prefix, body), signature);
        }
        return right;
    }

    private boolean ed25519(byte[] prefix, byte[] body, byte[] signature) {
        boolean right = false;
        for (PublicKey key : keys) {
            try {
                Signature verifier = Signature.getInstance("Ed25519");
                verifier.initVerify(key);
                verifier.update(prefix);
                verifier.update(body);
                right |= verifier.verify(signature);
            } catch (GeneralSecurityException e) {
                right |= false; // of the wrong length or form: not right
            }
        }
        return right;
    }

    private static byte[] sign(SecretKeySpec secret, byte[] prefix, byte[] body) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(secret);
            mac.update(prefix);
            return mac.doFinal(body);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java lacks HmacSHA256", e);
        }
    }

    /** A {@code v1} signature as a client writes it. */
    public static String sign(String secret, String id, String timestamp, byte[] body) {
        byte[] prefix = (id + "." + timestamp + ".").getBytes(StandardCharsets.UTF_8);
        return "v1,"
                + Base64.getEncoder()
                        .encodeToString(
                                sign(
                                        new SecretKeySpec(
                                                SecretFormat.decodeKey(secret), "HmacSHA256"),
                                        prefix,
                                        body));
    }
}
