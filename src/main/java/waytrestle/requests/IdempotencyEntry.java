package waytrestle.requests;

import waytrestle.requests.IdempotencyStore.KeyedRequest;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.FunctionError;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.scheduler.Idempotency;

/**
 * What the idempotency store knows of one key: the request in flight or its outcome.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class IdempotencyEntry {
    /** In place of a request's number: the request has completed. */
    private static final long NONE_IN_FLIGHT = 0;

    /** Bytes that an entry takes beside its key and its response, estimated. */
    static final int OVERHEAD_BYTES = 200;

    private static final long BYTES_PER_CHARACTER = 2;

    final KeyedRequest request;

    /** When the first attempt that may have run was forwarded. */
    long mayHaveRunSinceMicros = AttemptLog.NEVER;

    private long requestId;
    private RequestOutcome outcome;
    private long completedAt;

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

    RequestOutcome outcome() {
        return outcome;
    }

    long completedAtMicros() {
        return completedAt;
    }

    boolean isIdempotent() {
        return request.idempotency() == Idempotency.IDEMPOTENT;
    }

    void complete(RequestOutcome requestOutcome, long nowMicros) {
        requestId = NONE_IN_FLIGHT;
        outcome = requestOutcome;
        completedAt = nowMicros;
    }

    /** Drops the response but not that there was one; the bytes that this frees. */
    long evictResponse() {
        long freedBytes = responseBytes();
        if (freedBytes > 0 || outcome instanceof Served) {
            outcome = new Failed(Reason.RESPONSE_EVICTED, true);
        }
        return freedBytes;
    }

    long bytes() {
        return OVERHEAD_BYTES + BYTES_PER_CHARACTER * request.key().length() + responseBytes();
    }

    long responseBytes() {
        if (outcome instanceof Served served) {
            return served.body().size();
        }
        if (outcome instanceof FunctionError error) {
            return error.body().size();
        }
        return 0;
    }
}
