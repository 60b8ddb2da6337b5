package waytrestle.config;

import java.util.Base64;

/**
 * The text form of a webhook secret: a prefix that names the signature algorithm, then the key in
 * base64.
 */
public final class SecretFormat {
    /** The prefix of a shared HMAC-SHA256 secret. */
    public static final String HMAC_PREFIX = "whsec_";

    /** The prefix of an Ed25519 public key. */
    public static final String ED25519_PREFIX = "whpk_";

    /** Minimum length of an HMAC secret, set by the Standard Webhooks specification. */
    private static final int MIN_HMAC_BYTES = 24;

    /** Maximum length of an HMAC secret, set by the Standard Webhooks specification. */
    private static final int MAX_HMAC_BYTES = 64;

    private static final int ED25519_PUBLIC_KEY_BYTES = 32;

    private SecretFormat() {}

    /**
     * Returns what is wrong with a secret, in words that never contain the secret; null if it is
     * valid.
     */
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
        if (secret.startsWith(HMAC_PREFIX)
                && (key.length < MIN_HMAC_BYTES || key.length > MAX_HMAC_BYTES)) {
            return "a whsec_ secret must hold "
                    + MIN_HMAC_BYTES
                    + " to "
                    + MAX_HMAC_BYTES
                    + " bytes, not "
                    + key.length;
        }
        if (secret.startsWith(ED25519_PREFIX) && key.length != ED25519_PUBLIC_KEY_BYTES) {
            return "a whpk_ key must hold "
                    + ED25519_PUBLIC_KEY_BYTES
                    + " bytes, not "
                    + key.length;
        }
        return null;
    }

    /**
     * Returns the decoded bytes after the prefix; null if the text begins with neither prefix.
     *
     * @throws IllegalArgumentException if the text after the prefix is not base64
     */
    public static byte[] decodeKey(String secret) {
        for (String prefix : new String[] {HMAC_PREFIX, ED25519_PREFIX}) {
            if (secret.startsWith(prefix)) {
                return Base64.getDecoder().decode(secret.substring(prefix.length()));
            }
        }
        return null;
    }
}
