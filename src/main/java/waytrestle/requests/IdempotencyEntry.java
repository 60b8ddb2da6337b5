package waytrestle.requests;

import waytrestle.requests.IdempotencyStore.KeyedRequest;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.FunctionError;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.scheduler.Idempotency;

/**
 * The idempotency store's entry for one idempotency key: the request in flight, or the outcome of
 * the completed request.
 *
 * <p>Times are monotonic, in microseconds. Not thread-safe: used by the controller's event loop.
 */
final class IdempotencyEntry {
    /** Stands for a missing request id: the request has completed. */
    private static final long NONE_IN_FLIGHT = 0;

    /** Estimated memory of an entry without its key and its response body. */
    static final int OVERHEAD_BYTES = 200;

    private static final long BYTES_PER_CHARACTER = 2;

    final KeyedRequest request;

    /**
     * Forwarding time of the first attempt with this key that may have run, {@link
     * AttemptLog#NEVER} if there is none.
     */
    long mayHaveRunSinceMicros = AttemptLog.NEVER;

    private long requestId;
    private RequestOutcome outcome;
    private long completedAtMicros;

    IdempotencyEntry(KeyedRequest request, long requestId) {
        this.request = request;
        this.requestId = requestId;
    }

    boolean isInFlight() {
        return requestId != NONE_IN_FLIGHT;
    }

    long requestId() {
        return requestId;
    }

    /** Returns the outcome, or null while the request is in flight. */
    RequestOutcome outcome() {
        return outcome;
    }

    long completedAtMicros() {
        return completedAtMicros;
    }

    boolean isIdempotent() {
        return request.idempotency() == Idempotency.IDEMPOTENT;
    }

    void complete(RequestOutcome requestOutcome, long nowMicros) {
        requestId = NONE_IN_FLIGHT;
        outcome = requestOutcome;
        completedAtMicros = nowMicros;
    }

    /**
     * Replaces a response body by a failure that tells that the request was served, and returns the
     * number of bytes freed.
     */
    long evictResponse() {
        long freedBytes = responseBytes();
        if (freedBytes > 0 || outcome instanceof Served) {
            outcome = new Failed(Reason.RESPONSE_EVICTED, true);
        }
        return freedBytes;
    }

    /** Returns the estimated memory of the entry in bytes. */
    long bytes() {
        return OVERHEAD_BYTES + BYTES_PER_CHARACTER * request.key().length() + responseBytes();
    }

    /** Returns the memory that the response body retains in bytes, 0 without one. */
    long responseBytes() {
        if (outcome instanceof Served served) {
            return served.body().retainedBytes();
        }
        if (outcome instanceof FunctionError error) {
            return error.body().retainedBytes();
        }
        return 0;
    }
}
