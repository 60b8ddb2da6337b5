package waytrestle.controller;

import java.util.HashMap;
import java.util.Map;
import waytrestle.responses.ClassifierEvent;

/**
 * Holds the started requests by id. A request is held until it has ended for its clients and none
 * of its attempts is outstanding.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class OpenRequests {
    private final EventDispatcher dispatcher;
    private final Map<Long, OpenRequest> requests = new HashMap<>();

    OpenRequests(EventDispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    void add(OpenRequest request) {
        requests.put(request.id(), request);
    }

    /** Returns the request with the given id, or null where none is held. */
    OpenRequest find(long id) {
        return requests.get(id);
    }

    int size() {
        return requests.size();
    }

    /**
     * Records that a request has ended for its clients and notifies the classifier. Does nothing
     * for a request that is not held or was completed before.
     */
    void complete(long id) {
        OpenRequest request = requests.get(id);
        if (request == null || request.isCompleted()) {
            return;
        }
        request.markCompleted();
        dispatcher.notifyClassifier(
                new ClassifierEvent.RequestCompleted(id, request.functionResponded()));
        removeIfFinished(request);
    }

    /** Removes a request if it has ended for its clients and has no attempts outstanding. */
    void removeIfFinished(OpenRequest request) {
        if (request.isCompleted() && !request.hasOutstandingAttempts()) {
            requests.remove(request.id());
        }
    }
}
