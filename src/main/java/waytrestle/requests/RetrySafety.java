package waytrestle.requests;

import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/** Decides whether a client may retry a request without doubling its effect. Stateless. */
final class RetrySafety {
    private RetrySafety() {}

    /** Returns whether the request may have had an effect that a further execution would double. */
    static boolean mayHaveTakenEffect(PendingRequest request) {
        return request.attempts.mayHaveRun() && !request.isIdempotent();
    }

    /**
     * Returns whether a client's retry that arrives at the given time is proved harmless: the
     * function has not run, or the request is idempotent, or all invokers still drop duplicates of
     * the idempotency key.
     *
     * @param retryAtMicros time of the retry on the monotonic clock
     */
    static boolean isRetryHarmless(PendingRequest request, long retryAtMicros) {
        if (!request.attempts.mayHaveRun() || request.isIdempotent()) {
            return true;
        }
        RequestClass requestClass = request.requestClass;
        boolean allInvokersDeduplicate =
                requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
        long windowEndMicros =
                request.attempts.mayHaveRunSinceMicros() + requestClass.deduplicationWindowMicros();
        return allInvokersDeduplicate && retryAtMicros < windowEndMicros;
    }
}
