package waytrestle.controller;

import java.util.function.Function;
import waytrestle.requests.AdmissionControl;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.responses.ResponseClassifier;
import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.SchedulerSettings;

/**
 * The components that a gateway, the platform or a simulation creates its controller with.
 *
 * @param functionHints returns what the configuration declares of a function, by its name; used for
 *     requests that declare nothing themselves
 */
public record ControllerDependencies(
        SchedulerSettings settings,
        RequestScheduler scheduler,
        PendingRequests pendingRequests,
        ResponseClassifier classifier,
        AdmissionControl admission,
        Function<String, FunctionHints> functionHints,
        FailureThreshold failureThreshold) {}
