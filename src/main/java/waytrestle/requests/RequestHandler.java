package waytrestle.requests;

import waytrestle.Bytes;

/** What a front needs of the core: it brings a call and hears its end, once. */
public interface RequestHandler {
    /**
     * What is told of a call's function, 0 or less where untold, and whether its client sent the
     * call before.
     */
    record FunctionHints(
            double memoryMb,
            int concurrencyPerInstance,
            long loadMicros,
            long workMicros,
            boolean retry) {
        public static final FunctionHints NONE = new FunctionHints(0, 0, 0, 0, false);
    }

    /**
     * A call as a front has understood and admitted it; the id may be null, tenant -1. With
     * jsonBytes of 0 or more the payload is an infer request already, whose JSON part is so long,
     * and its answer is wanted whole. Facts are null where the call tells none; the passed id, null
     * without, is what invokers are to see unchanged.
     */
    record IncomingRequest(
            int requestClass,
            int tenant,
            String function,
            IdempotencyStore.KeyedRequest idempotencyKey,
            long retryMark,
            long timeLeftMicros,
            String contentType,
            Bytes payload,
            int jsonBytes,
            FunctionHints hints,
            String forwardedId) {
        public IncomingRequest(
                int requestClass,
                int tenant,
                String function,
                IdempotencyStore.KeyedRequest idempotencyKey,
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

    /** Hears the end, on the loop, possibly within {@link #accept}. */
    interface ResponseListener {
        void completed(RequestOutcome end);

        /**
         * Asked before something is begun for it: one that has gone unseen is to be told as having
         * left, now.
         */
        default void checkConnected() {}
    }

    /** Held by the front while the call is open. */
    interface PendingResponse {
        /** The client went away; no end is told after this. */
        void clientDisconnected();
    }

    PendingResponse accept(IncomingRequest call, ResponseListener client);

    /** Whether any invoker is ready. */
    boolean ready();

    /** Wall time in whole seconds, by which signing times are judged. */
    long wallSeconds();
}
