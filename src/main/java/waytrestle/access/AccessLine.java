package waytrestle.access;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * One line of the access log: how a request ended for one of its clients.
 *
 * @param endedAtMillis wall-clock time of the end, in milliseconds since the epoch
 * @param id the client's id of the request, of which only a hash is logged; empty where the request
 *     has none
 * @param tenant name of the tenant; empty where none is known
 * @param requestClass name of the request class
 * @param function name of the function
 * @param attempts attempts of the request in the order of their numbers; empty for a client that
 *     joined the request of another client
 * @param outcome how the request ended
 * @param reason why the request was rejected or failed; empty for any other outcome
 * @param durationMicros time from the client's request to its response
 */
public record AccessLine(
        long endedAtMillis,
        String id,
        String tenant,
        String requestClass,
        String function,
        List<AttemptEntry> attempts,
        String outcome,
        String reason,
        long durationMicros) {
    /**
     * Logged bytes of an id's hash: enough to find a request by its id, too few to recover the id.
     */
    private static final int ID_HASH_BYTES = 8;

    /**
     * One attempt of a request.
     *
     * @param invoker name of the invoker that the scheduler chose
     * @param response HTTP status of the response, or a word in place of one
     * @param durationMicros time from the scheduler's decision to the end of the attempt, or to the
     *     end of the request where the attempt is still outstanding
     * @param estimateMicros time from the decision to the response as the scheduler estimated it;
     *     negative where it made no estimate
     */
    public record AttemptEntry(
            String invoker, String response, long durationMicros, long estimateMicros) {
        boolean hasEstimate() {
            return estimateMicros >= 0;
        }
    }

    /**
     * Returns the hash that is logged in place of an id, in hexadecimal digits. Ids are chosen by
     * clients and may contain personal data, so they are not logged in clear text.
     */
    public static String hash(String id) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] hash = digest.digest(id.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, ID_HASH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime lacks SHA-256", e);
        }
    }
}
