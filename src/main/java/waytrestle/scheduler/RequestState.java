package waytrestle.scheduler;

import java.util.ArrayList;
import java.util.List;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/** A request from its arrival until its outcome and the end of its last attempt. */
final class RequestState {
    final long id;
    final long receivedAt;
    final long deadline;
    final RequestClass requestClass;

    /** One number for class and tenant: some invokers fail only one of these. */
    final int failureScope;

    final FunctionState function;
    final List<AttemptState> attempts = new ArrayList<>();

    /** Invokers that failed it and are not tried again for now. */
    final List<InvokerState> excludedInvokers = new ArrayList<>();

    int inFlight;

    /** Whether a completed attempt is not proved never to have run. */
    boolean mayHaveRun;

    /** Where the first such attempt went, and when. */
    InvokerState boundInvoker;

    long boundAt;

    boolean streaming;

    /** Whether it waits for a timer to be routed again. */
    boolean queued;

    /** Whether it has been queued once for a load. */
    boolean waitedForLoad;

    /** Whether it has its outcome. */
    boolean completed;

    /** Responses that the function was not loaded. */
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

    /** Counts an attempt as in flight. */
    void startAttempt(AttemptState attempt) {
        attempt.start();
        inFlight++;
        attempts.add(attempt);
    }

    /** Counts it as in flight no longer. */
    void completeAttempt(AttemptState attempt) {
        attempt.complete();
        inFlight--;
    }

    /** From now on the request counts as having run where this attempt went. */
    void bindTo(AttemptState attempt) {
        mayHaveRun = true;
        boundInvoker = attempt.invoker;
        boundAt = attempt.sentAt;
    }

    /** Whether a decision on it is still to come. */
    boolean isUndecided() {
        return !streaming && !completed;
    }
}
