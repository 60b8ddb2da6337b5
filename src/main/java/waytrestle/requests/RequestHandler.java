package waytrestle.requests;

import waytrestle.Bytes;
import waytrestle.requests.IdempotencyStore.KeyedRequest;

/**
 * What a protocol front end needs of the controller: it hands over a request and is notified of the
 * outcome, once.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public interface RequestHandler {
    /**
     * What a request declares of its function; a number of 0 or less is not declared.
     *
     * @param retry whether the client has sent the request before
     */
    record FunctionHints(
            double memoryMb,
            int concurrencyPerInstance,
            long loadMicros,
            long workMicros,
            boolean retry) {
        /** Nothing is declared. */
        public static final FunctionHints NONE = new FunctionHints(0, 0, 0, 0, false);
    }

    /**
     * A request that a front end has parsed and authorized.
     *
     * @param tenant -1 without one
     * @param idempotencyKey null for a request that is never joined or remembered
     * @param retryFingerprint recognises a client's retry of a rejected request, 0 without one
     * @param jsonBytes if not negative, the payload is an inference request whose JSON part has
     *     this length, and the whole inference response is wanted
     * @param hints null if the request declares none
     * @param forwardedRequestId request id that invokers are to see unchanged, null without one
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
                long retryMark,
                long timeLeftMicros,
                String contentType,
                Bytes payload,
                int jsonBytes) {
            this(
                    requestClass,
                    tenant,
                    function,
                    idempotencyKey,
                    retryMark,
                    timeLeftMicros,
                    contentType,
                    payload,
                    jsonBytes,
                    null,
                    null);
        }
    }

    /** Notified of the outcome on the event loop, possibly before {@link #accept} returns. */
    interface ResponseListener {
        /** The request has its outcome. */
        void completed(RequestOutcome outcome);

        /**
         * Called before work is begun for the client: a listener that finds the connection closed
         * reports it at once by {@link PendingResponse#clientDisconnected}.
         */
        default void checkConnected() {}
    }

    /** A response that has not been given yet; held by the front end. */
    interface PendingResponse {
        /** The client's connection was closed; no outcome is reported after this. */
        void clientDisconnected();
    }

    /** Takes a request over; the listener is notified of its outcome once. */
    PendingResponse accept(IncomingRequest request, ResponseListener listener);

    /** Whether any invoker is ready. */
    boolean hasReadyInvoker();

    /** Wall-clock time, by which signing times are verified. */
    long wallSeconds();
}
