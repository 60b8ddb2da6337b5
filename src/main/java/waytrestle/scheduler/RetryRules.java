package waytrestle.scheduler;

import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * Decides whether a request may be sent again or rejected, by its idempotency and by whether an
 * attempt may have run.
 */
final class RetryRules {
    private final SchedulerState state;

    RetryRules(SchedulerState state) {
        this.state = state;
    }

    /** Returns whether another attempt of the request may be sent to any invoker now. */
    boolean mayRetry(RequestState request) {
        RequestClass requestClass = request.requestClass;
        long deduplicationEnd = request.boundAt + requestClass.deduplicationWindowMicros();
        return !request.mayHaveRun
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.KEYED
                        && state.now <= deduplicationEnd - state.settings.tickMicros());
    }

    /**
     * Returns whether another attempt of the request may be sent to the invoker. A request with an
     * idempotency key that may have run is bound to the deduplication scope of the invoker where it
     * may have run.
     */
    boolean mayRetryAt(RequestState request, InvokerState invoker) {
        return !request.mayHaveRun
                || request.requestClass.idempotency() != Idempotency.KEYED
                || isInDeduplicationScope(request, invoker);
    }

    private static boolean isInDeduplicationScope(RequestState request, InvokerState invoker) {
        InvokerEndpoint endpoint = invoker.endpoint;
        InvokerEndpoint bound = request.boundInvoker.endpoint;
        return switch (request.requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> endpoint.zone() == bound.zone();
            case CELL -> endpoint.cell() == bound.cell();
        };
    }

    /** Returns whether the client may be told that a retry of the request is harmless. */
    boolean mayReject(RequestState request) {
        RequestClass requestClass = request.requestClass;
        return (!request.mayHaveRun && request.inFlight == 0)
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }
}
