package waytrestle.config;

import java.util.Base64;

/** The written form of a webhook secret: a prefix that names its kind, then base64. */
public final class SecretFormat {
    public static final String HMAC_PREFIX = "whsec_", ED25519_PREFIX = "whpk_";
    private static final int LEAST = 24, MOST = 64; // bytes of an HMAC secret, by the specification
    private static final int ED25519_KEY = 32; // bytes of a public key

    private SecretFormat() {}

    /** What is wrong with a secret, never repeating it; null when nothing is. */
    public static String describeError(String secret) {
        byte[] key;
        try {
            key = decodeKey(secret);
        } catch (IllegalArgumentException e) {
            return "a secret is not base64 after its prefix";
        }
        if (key == null) {
            return "a secret must begin with whsec_ (HMAC-SHA256) or whpk_ (Ed25519 public key)";
        }
        if (secret.startsWith(HMAC_PREFIX) && (key.length < LEAST || key.length > MOST)) {
            return "a whsec_ secret must hold "
                    + LEAST
                    + " to "
                    + MOST
                    + " bytes, not "
                    + key.length;
        }
        if (secret.startsWith(ED25519_PREFIX) && key.length != ED25519_KEY) {
            return "a whpk_ key must hold " + ED25519_KEY + " bytes, not " + key.length;
        }
        return null;
    }

    /** The bytes after the prefix; null without a known prefix. */
    public static byte[] decodeKey(String secret) {
        for (String prefix : new String[] {HMAC_PREFIX, ED25519_PREFIX}) {
            if (secret.startsWith(prefix)) {
                return Base64.getDecoder().decode(secret.substring(prefix.length()));
            }
        }
        return null;
    }
}
