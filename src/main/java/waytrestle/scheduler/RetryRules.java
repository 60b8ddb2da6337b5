package waytrestle.scheduler;

import waytrestle.scheduler.SchedulerSettings.RequestClass;

/** Whether a request may be sent again or rejected, by its idempotency and what may have run. */
final class RetryRules {
    private final SchedulerState state;

    RetryRules(SchedulerState state) {
        this.state = state;
    }

    /** Whether another attempt may be sent at all. */
    boolean mayRetry(RequestState request) {
        RequestClass kind = request.requestClass;
        long deduplicatedUntil = request.boundAt + kind.deduplicationWindowMicros();
        return !request.mayHaveRun
                || kind.idempotency() == Idempotency.IDEMPOTENT
                || (kind.idempotency() == Idempotency.KEYED
                        && state.now <= deduplicatedUntil - state.settings.tickMicros());
    }

    /** Whether an attempt at the invoker would be dropped there as a duplicate, if it is one. */
    boolean mayRetryAt(RequestState request, InvokerState invoker) {
        if (!request.mayHaveRun || request.requestClass.idempotency() != Idempotency.KEYED) {
            return true;
        }
        InvokerEndpoint endpoint = invoker.endpoint;
        InvokerEndpoint bound = request.boundInvoker.endpoint;
        return switch (request.requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> endpoint.zone() == bound.zone();
            case CELL -> endpoint.cell() == bound.cell();
        };
    }

    /** Whether the client may be told that a retry is harmless. */
    boolean mayReject(RequestState request) {
        RequestClass kind = request.requestClass;
        return (!request.mayHaveRun && request.inFlight == 0)
                || kind.idempotency() == Idempotency.IDEMPOTENT
                || (kind.idempotency() == Idempotency.KEYED
                        && kind.deduplicationScope() == DeduplicationScope.ALL);
    }
}
