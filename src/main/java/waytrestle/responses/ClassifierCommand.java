package waytrestle.responses;

import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/** What a response classifier commands its controller to do. Times are in microseconds. */
public sealed interface ClassifierCommand {
    /** Receives commands in order. */
    interface Sink {
        /** Takes the next command. */
        void add(ClassifierCommand command);
    }

    /**
     * Hand the request to the scheduler, with the concurrency per instance and the load time of its
     * function, each as declared or as corrected by measurements.
     */
    record AdmitRequest(long requestId, int concurrencyPerInstance, long loadMicros)
            implements ClassifierCommand {}

    /**
     * Reject the request because its function fails at all invokers.
     *
     * @param lastFailureResult result of the last failed request of the function
     * @param retryAfterMicros time after which the client may retry
     */
    record RejectRequest(long requestId, ExchangeResult lastFailureResult, long retryAfterMicros)
            implements ClassifierCommand {}

    /** Send the attempt. */
    record ForwardAttempt(long requestId, int attempt) implements ClassifierCommand {}

    /** Do not send the attempt; it ends as withheld. */
    record WithholdAttempt(long requestId, int attempt) implements ClassifierCommand {}

    /** Report the end of an attempt, with the trusted part of its load report. */
    record CompleteAttempt(
            long requestId,
            int attempt,
            Classification classification,
            InvokerLoadReport loadReport)
            implements ClassifierCommand {}

    /** End an open request whose function no invoker knows. */
    record FailFunctionNotFound(long requestId) implements ClassifierCommand {}

    /** Pass the endpoint list to the scheduler; ejected invokers are draining in it. */
    record UpdateEndpoints(EndpointsUpdated update) implements ClassifierCommand {}

    /** Report that an outlier is ejected for the given duration. */
    record ReportEjection(String invoker, long durationMicros) implements ClassifierCommand {}

    /** Report that an ejected invoker is readmitted. */
    record ReportReadmission(String invoker) implements ClassifierCommand {}

    /**
     * Warn the operator that an invoker lacks a declared capability.
     *
     * @param unreported true if most responses lack the declared report; false if responses refute
     *     the capability
     */
    record WarnOfMissingCapability(
            String invoker, DeclaredCapability capability, boolean unreported)
            implements ClassifierCommand {}

    /** Send {@link ClassifierEvent.TimerExpired} after the given time. */
    record SetTimer(long afterMicros) implements ClassifierCommand {}
}
