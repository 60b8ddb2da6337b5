package waytrestle.requests;

import waytrestle.Bytes;
import waytrestle.requests.IdempotencyStore.KeyedRequest;

/**
 * The controller as the protocol front ends see it: a front end hands over a request and is
 * notified of its outcome exactly once.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public interface RequestHandler {
    /**
     * What a request declares of its function. A number of 0 or less means that the value is not
     * declared.
     *
     * @param memoryMb memory of one function instance, in megabytes
     * @param concurrencyPerInstance requests that one function instance runs at a time
     * @param loadMicros time to load a function instance
     * @param workMicros time that the function takes to serve the request
     * @param retry whether the client has sent the request before
     */
    record FunctionHints(
            double memoryMb,
            int concurrencyPerInstance,
            long loadMicros,
            long workMicros,
            boolean retry) {
        /** The hints of a request that declares nothing. */
        public static final FunctionHints NONE = new FunctionHints(0, 0, 0, 0, false);
    }

    /**
     * A request that a front end has parsed and authorized.
     *
     * @param requestClass index of the request class in the scheduler settings
     * @param tenant index of the tenant in the scheduler settings, -1 for none
     * @param idempotencyKey null for a request that repeats cannot join and the idempotency store
     *     does not remember
     * @param retryFingerprint value by which a client's retry of a rejected request is recognised;
     *     0 if the request has none
     * @param timeLeftMicros time left until the client's deadline
     * @param jsonBytes length of the JSON part if the payload is an inference request whose whole
     *     inference response is wanted, negative for any other payload
     * @param hints null if the request declares none
     * @param forwardedRequestId request id that is forwarded to invokers unchanged, null for none
     */
    record IncomingRequest(
            int requestClass,
            int tenant,
            String function,
            KeyedRequest idempotencyKey,
            long retryFingerprint,
            long timeLeftMicros,
            String contentType,
            Bytes payload,
            int jsonBytes,
            FunctionHints hints,
            String forwardedRequestId) {
        /** A request without hints and without a request id to forward. */
        public IncomingRequest(
                int requestClass,
                int tenant,
                String function,
                KeyedRequest idempotencyKey,
                long retryFingerprint,
                long timeLeftMicros,
                String contentType,
                Bytes payload,
                int jsonBytes) {
            this(
                    requestClass,
                    tenant,
                    function,
                    idempotencyKey,
                    retryFingerprint,
                    timeLeftMicros,
                    contentType,
                    payload,
                    jsonBytes,
                    null,
                    null);
        }
    }

    /** Is notified of an outcome on the event loop, possibly before {@link #accept} returns. */
    interface ResponseListener {
        /** Called once, when the request has its outcome. */
        void completed(RequestOutcome outcome);

        /**
         * Called before the request is processed further. If the client's connection is closed, the
         * listener reports that at once by {@link PendingResponse#clientDisconnected}.
         */
        default void checkConnected() {}
    }

    /** A front end's handle of an accepted request that has no outcome yet. */
    interface PendingResponse {
        /** Reports that the client's connection was closed; no outcome is reported afterwards. */
        void clientDisconnected();
    }

    /** Accepts a request for processing and notifies the listener of its outcome exactly once. */
    PendingResponse accept(IncomingRequest request, ResponseListener listener);

    /** Returns whether at least one invoker is ready. */
    boolean hasReadyInvoker();

    /** Returns the wall-clock time in seconds, against which signing times are verified. */
    long wallSeconds();
}
