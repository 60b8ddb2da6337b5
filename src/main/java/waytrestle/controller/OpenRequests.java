package waytrestle.controller;

import java.util.HashMap;
import java.util.Map;
import waytrestle.responses.ClassifierEvent;

/**
 * The requests in progress. A request is kept until it has ended for its clients and its last
 * attempt has ended.
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

    /** The request of this id, or null where it is not open. */
    OpenRequest find(long id) {
        return requests.get(id);
    }

    int size() {
        return requests.size();
    }

    /** Notes that a request has ended for its clients; nothing where that is known already. */
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

    /** Forgets a request that has ended for its clients and has no attempts outstanding. */
    void removeIfFinished(OpenRequest request) {
        if (request.isCompleted() && !request.hasOutstandingAttempts()) {
            requests.remove(request.id());
        }
    }
}
