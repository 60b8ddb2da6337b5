package waytrestle.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import waytrestle.platform.RepeatingClient.SentRequest;

/** The platform's rules on one request, checked on what its client and the invokers have seen. */
final class RequestInvariants {
    /** What the violation begins with of a request that got no response. */
    static final String LOST = "lost";

    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private RequestInvariants() {}

    /** What a request has broken; empty where it kept all rules. */
    static List<String> violations(SentRequest request, int runs) {
        List<String> violations = new ArrayList<>();
        if (request.isUnsafe() && runs > 1) {
            violations.add("duplicate: ran " + runs + " times");
        }
        if (request.isUnsafe() && runs > 0 && isRejected(request.lastResult())) {
            violations.add("duplicate: rejected as harmless to retry after it ran");
        }
        if (request.lastResult() < 0) {
            violations.add(LOST + ": it never got a response");
        }
        violations.replaceAll(text -> text + " (" + request + ")");
        return violations;
    }

    /** Whether the connection was closed under it, so that it had to be sent again. */
    static boolean wasCut(SentRequest request) {
        return request.results().stream().anyMatch(r -> Objects.equals(r, RepeatingClient.CLOSED));
    }

    /** Whether no connection lasted until its response, the one it was sent again on included. */
    static boolean wasCutEachTime(SentRequest request) {
        return request.results().stream().allMatch(r -> Objects.equals(r, RepeatingClient.CLOSED));
    }

    private static boolean isRejected(int status) {
        return status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
    }
}
