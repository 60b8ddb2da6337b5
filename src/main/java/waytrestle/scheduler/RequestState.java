package waytrestle.scheduler;

import java.util.ArrayList;
import java.util.List;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * What a scheduler knows about a request, from its arrival until it has its outcome and its last
 * attempt has ended. Times are in microseconds on the scheduler's clock.
 */
final class RequestState {
    final long id;
    final long receivedAt;
    final long deadline;
    final RequestClass requestClass;

    /**
     * Number of the request's class and tenant together. Failures are counted by it, because some
     * invokers fail only one class or tenant.
     */
    final int failureScope;

    final FunctionState function;
    final List<AttemptState> attempts = new ArrayList<>();

    /** Invokers that failed the request and are not tried again for now. */
    final List<InvokerState> excludedInvokers = new ArrayList<>();

    /** Attempts in flight. */
    int inFlight;

    /** Whether an attempt of the request ended without proof that it never ran. */
    boolean mayHaveRun;

    /**
     * Invoker of the first attempt that may have run; null before it. Deduplication binds the
     * retries of a request with an idempotency key to the scope of this invoker.
     */
    InvokerState boundInvoker;

    /** When the first attempt that may have run was sent; its deduplication window starts then. */
    long boundAt;

    /** Whether a part of the response has been passed to the client. */
    boolean streaming;

    /** Whether the request waits to be routed again by a timer or after a health check. */
    boolean queued;

    /** Whether the request has been queued once to wait for a load. */
    boolean waitedForLoad;

    /** Whether the request has its outcome. */
    boolean completed;

    /** Number of not-loaded responses. */
    int notLoadedResponses;

    RequestState(
            long id,
            RequestClass requestClass,
            int scope,
            FunctionState function,
            long nowMicros,
            long timeLeftMicros) {
        this.id = id;
        this.requestClass = requestClass;
        this.failureScope = scope;
        this.function = function;
        this.receivedAt = nowMicros;
        this.deadline = nowMicros + timeLeftMicros;
    }

    /** Adds an attempt and counts it as in flight. */
    void startAttempt(AttemptState attempt) {
        attempt.start();
        inFlight++;
        attempts.add(attempt);
    }

    /** Marks an attempt as ended and no longer counts it as in flight. */
    void completeAttempt(AttemptState attempt) {
        attempt.complete();
        inFlight--;
    }

    /** Records that the attempt may have run the request. */
    void bindTo(AttemptState attempt) {
        mayHaveRun = true;
        boundInvoker = attempt.invoker;
        boundAt = attempt.sentAt;
    }

    /** Returns whether the invoker has failed the request and is not tried again for now. */
    boolean excludes(InvokerState invoker) {
        return !excludedInvokers.isEmpty() && excludedInvokers.contains(invoker);
    }

    /** Returns whether the request has neither an outcome nor a streamed response. */
    boolean isUndecided() {
        return !streaming && !completed;
    }
}
