package waytrestle.responses;

import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/** What a response classifier commands its controller to do. */
public sealed interface ClassifierCommand {
    /** Receives commands in order. */
    interface Sink {
        /** Takes the next command. */
        void add(ClassifierCommand command);
    }

    /** Hand the request to the scheduler, with what is believed of its function. */
    record AdmitRequest(long requestId, int concurrencyPerInstance, long loadMicros)
            implements ClassifierCommand {}

    /** Reject the request: its function fails everywhere, last with this result. */
    record RejectRequest(long requestId, ExchangeResult lastFailureResult, long retryAfterMicros)
            implements ClassifierCommand {}

    /** Send the attempt. */
    record ForwardAttempt(long requestId, int attempt) implements ClassifierCommand {}

    /** Do not send the attempt; it ends as withheld. */
    record WithholdAttempt(long requestId, int attempt) implements ClassifierCommand {}

    /** Report the end of an attempt, with what is to be believed of its load report. */
    record CompleteAttempt(
            long requestId,
            int attempt,
            Classification classification,
            InvokerLoadReport loadReport)
            implements ClassifierCommand {}

    /** End an open request whose function no invoker knows. */
    record FailFunctionNotFound(long requestId) implements ClassifierCommand {}

    /** Pass on the endpoint list as the scheduler is to see it. */
    record UpdateEndpoints(EndpointsUpdated update) implements ClassifierCommand {}

    /** Report that an outlier is ejected for a while. */
    record ReportEjection(String invoker, long durationMicros) implements ClassifierCommand {}

    /** Report that an ejected invoker is readmitted. */
    record ReportReadmission(String invoker) implements ClassifierCommand {}

    /**
     * Warn the operator that an invoker lacks a declared capability.
     *
     * @param unreported whether it mostly reports nothing; otherwise what it reports is wrong
     */
    record WarnOfMissingCapability(
            String invoker, DeclaredCapability capability, boolean unreported)
            implements ClassifierCommand {}

    /** Send {@link ClassifierEvent.TimerExpired} after a time. */
    record SetTimer(long afterMicros) implements ClassifierCommand {}
}
