package waytrestle.requests;

import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/** Whether a client may repeat a request without doubling its effect. */
final class RetrySafety {
    private RetrySafety() {}

    /** Whether the request may have had an effect that a further execution would double. */
    static boolean mayHaveTakenEffect(PendingRequest request) {
        return request.attempts.mayHaveRun() && !request.isIdempotent();
    }

    /**
     * Whether a retry that arrives at the given time is proved harmless: nothing has run, or
     * running again has no further effect, or all invokers still drop duplicates of the idempotency
     * key.
     */
    static boolean isRetryHarmless(PendingRequest request, long retryAtMicros) {
        if (!request.attempts.mayHaveRun() || request.isIdempotent()) {
            return true;
        }
        RequestClass requestClass = request.requestClass;
        boolean allInvokersDeduplicate =
                requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
        long windowEnd =
                request.attempts.mayHaveRunSinceMicros() + requestClass.deduplicationWindowMicros();
        return allInvokersDeduplicate && retryAtMicros < windowEnd;
    }
}
