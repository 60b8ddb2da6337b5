package waytrestle.access;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * One request as it ended.
 *
 * @param endedAtMillis wall-clock time of its end
 * @param id the client's id of the request, written as a hash alone; empty where it has none
 * @param tenant name of its tenant; empty where none is known
 * @param requestClass name of its class
 * @param function the function it was for
 * @param attempts its attempts in the order they were sent
 * @param outcome how it ended
 * @param reason why it ended so; empty where the outcome says it all
 * @param durationMicros time from its arrival to its end
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
    /** Of the hash: enough to find a request by its id, too few to recover the id. */
    private static final int ID_HASH_BYTES = 8;

    /**
     * One attempt of a request.
     *
     * @param invoker name of the invoker it was sent to
     * @param response what came of it: a status, or a word in place of one
     * @param durationMicros time from sending it to its end, or to now where it is in flight
     * @param estimateMicros finish time that was estimated when the invoker was chosen; negative
     *     where there was no estimate
     */
    public record AttemptEntry(
            String invoker, String response, long durationMicros, long estimateMicros) {
        boolean hasEstimate() {
            return estimateMicros >= 0;
        }
    }

    /**
     * The hash of an id as the log has it. Ids are chosen by clients and may contain personal data,
     * so they are not logged as they are.
     */
    public static String hash(String id) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] hash = digest.digest(id.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, ID_HASH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java lacks SHA-256", e);
        }
    }
}
