package waytrestle.requests;

import java.util.ArrayList;
import java.util.List;
import waytrestle.requests.PendingRequests.RequestArrived;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * A request in flight and the clients that wait for its outcome.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class PendingRequest {
    final long id;

    /** Deadline on the monotonic clock. */
    final long deadlineMicros;

    final RequestClass requestClass;

    /** The arrival event of the client whose request was not a repeat. */
    final RequestArrived arrival;

    final List<WaitingClient> clients = new ArrayList<>(1);
    final AttemptLog attempts = new AttemptLog();

    /**
     * Whether the scheduler has abandoned the request, because all its clients disconnected while
     * an attempt could still run. A detached request ends when its last attempt ends.
     */
    boolean detached;

    PendingRequest(
            long id, long deadlineMicros, RequestClass requestClass, RequestArrived arrival) {
        this.id = id;
        this.deadlineMicros = deadlineMicros;
        this.requestClass = requestClass;
        this.arrival = arrival;
    }

    boolean isIdempotent() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }
}
