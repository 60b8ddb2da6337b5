package waytrestle.controller;

import java.util.function.Function;
import waytrestle.requests.AdmissionControl;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.responses.ResponseClassifier;
import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.SchedulerSettings;

/**
 * What a way of running puts together for its controller; functions tells what is known of one
 * where its calls do not.
 */
public record ControllerDependencies(
        SchedulerSettings settings,
        RequestScheduler scheduler,
        PendingRequests pendingRequests,
        ResponseClassifier classifier,
        AdmissionControl admission,
        Function<String, FunctionHints> functionHints,
        FailureThreshold failureThreshold) {}
