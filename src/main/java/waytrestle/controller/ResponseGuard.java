package waytrestle.controller;

import java.util.List;
import waytrestle.requests.RequestOutcome;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.Rejected;
import waytrestle.requests.SendGuard;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * Checks each rejection against the attempts that were really sent, before a client gets it. A
 * rejection promises that a retry does no harm, so the rejection of a request that may have run
 * becomes a failure.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class ResponseGuard {
    private final SendGuard sendGuard;
    private final List<RequestClass> requestClasses;

    ResponseGuard(SendGuard sendGuard, List<RequestClass> requestClasses) {
        this.sendGuard = sendGuard;
        this.requestClasses = requestClasses;
    }

    /**
     * Returns the given outcome if the client may get it, or the failure that replaces it.
     *
     * @param request the request that the client has started; null where it has started none
     */
    RequestOutcome permittedOutcome(RequestOutcome outcome, OpenRequest request) {
        if (request == null || !(outcome instanceof Rejected rejected)) {
            return outcome;
        }
        RequestClass requestClass = requestClasses.get(request.incoming().requestClass());
        if (sendGuard.mayReject(request.sendHistory(), requestClass)) {
            return outcome;
        }
        return new Failed(rejected.reason(), true, rejected.attemptSummary());
    }
}
