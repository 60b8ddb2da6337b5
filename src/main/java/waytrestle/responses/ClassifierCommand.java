package waytrestle.responses;

import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/** What a response classifier tells its controller to do. */
public sealed interface ClassifierCommand {
    /** Takes the actions in order. */
    interface Sink {
        void add(ClassifierCommand action);
    }

    /** The call goes before the module, with what is believed of its function. */
    record AdmitRequest(long requestId, int concurrencyPerInstance, long loadMicros)
            implements ClassifierCommand {}

    /**
     * The call is refused: the function fails everywhere, said so last, and is tried again after a
     * while.
     */
    record RejectFast(long requestId, ExchangeResult lastResult, long retryAfterMicros)
            implements ClassifierCommand {}

    record ForwardAttempt(long requestId, int attempt) implements ClassifierCommand {}

    /** The attempt must not go out; its end comes as withheld. */
    record WithholdAttempt(long requestId, int attempt) implements ClassifierCommand {}

    /** What an attempt's end comes to, and what is worth believing of what came with it. */
    record CompleteAttempt(
            long requestId,
            int attempt,
            Classification classification,
            InvokerLoadReport loadReport)
            implements ClassifierCommand {}

    /** An open call of a function that is known nowhere. */
    record FailFunctionNotFound(long requestId) implements ClassifierCommand {}

    /** The list as the module is to see it. */
    record UpdateEndpoints(EndpointsUpdated update) implements ClassifierCommand {}

    /** An invoker that alone errs gets nothing for a while. */
    record ReportEjection(String invoker, long durationMicros) implements ClassifierCommand {}

    record ReportReadmission(String invoker) implements ClassifierCommand {}

    record WarnOfCapability(String invoker, DeclaredCapability capability, boolean unreported)
            implements ClassifierCommand {}

    /** Come back with Due. */
    record SetTimer(long afterMicros) implements ClassifierCommand {}
}
