package waytrestle.controller;

import java.util.Collection;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.responses.ClassifierCommand;
import waytrestle.responses.ExchangeResult;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerEvent;

/** Hears what a controller does, to count or log it; nothing is decided by what it does. */
public interface ControllerListener {
    /** A call's end: served, refused, failed or left by its client. */
    default void requestCompleted(IncomingRequest call, String end, String reason, long micros) {}

    default void attemptCompleted(
            ResponseCode code, String invoker, ExchangeResult said, long micros) {}

    default void preloadSent() {}

    default void invokerEjected(String invoker, long micros) {}

    default void invokerReadmitted(String invoker) {}

    default void capabilityWarning(ClassifierCommand.WarnOfCapability what) {}

    /** An invoker is gone; nothing of it needs to be kept. */
    default void invokerRemoved(String invoker) {}

    /** A decision threw; the events before it are enough to replay it. */
    void decisionFailed(SchedulerEvent event, Collection<SchedulerEvent> before, Throwable why);

    /** A line for whoever reads the log. */
    void message(String text);
}
