package waytrestle.controller;

import java.util.function.Function;
import waytrestle.requests.AdmissionControl;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.responses.ResponseClassifier;
import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.SchedulerSettings;

/**
 * The parts that a gateway, a platform or a simulation assembles its controller from.
 *
 * @param functionHints what is known of a function whose requests say nothing of it
 */
public record ControllerDependencies(
        SchedulerSettings settings,
        RequestScheduler scheduler,
        PendingRequests pendingRequests,
        ResponseClassifier classifier,
        AdmissionControl admission,
        Function<String, FunctionHints> functionHints,
        FailureThreshold failureThreshold) {}
