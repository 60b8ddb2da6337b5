package waytrestle.requests;

import java.util.ArrayList;
import java.util.List;
import waytrestle.requests.PendingRequests.RequestArrived;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * A request in flight with the clients that wait for it.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class PendingRequest {
    final long id;
    final long deadlineMicros;
    final RequestClass requestClass;

    /** The arrival of the client that began it. */
    final RequestArrived arrival;

    final List<WaitingClient> clients = new ArrayList<>(1);
    final AttemptLog attempts = new AttemptLog();

    /**
     * Whether the scheduler no longer knows the request, because all its clients left while an
     * attempt was in flight. It ends with its last attempt.
     */
    boolean detached;

    PendingRequest(long id, long deadline, RequestClass requestClass, RequestArrived arrival) {
        this.id = id;
        this.deadlineMicros = deadline;
        this.requestClass = requestClass;
        this.arrival = arrival;
    }

    boolean isIdempotent() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }
}
