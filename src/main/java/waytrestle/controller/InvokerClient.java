package waytrestle.controller;

import waytrestle.invoker.LoadMetrics;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.responses.ExchangeResult;

/**
 * Sends a controller's attempts, preload requests and health checks to one invoker. All methods are
 * called, and all listeners are notified, on the controller's event loop. Durations are in
 * microseconds.
 */
public interface InvokerClient {
    /**
     * Sends an attempt of a request.
     *
     * @param id the request's id as the invoker is to see it
     * @param attempt number of the attempt within the request, counted from 0
     * @param timeoutMicros time from now after which the attempt is given up
     * @return a task that cancels the attempt
     */
    Runnable sendAttempt(
            IncomingRequest request,
            String id,
            int attempt,
            long timeoutMicros,
            AttemptListener listener);

    /**
     * Sends a preload request: asks the invoker to hold at least the given number of instances of
     * the function.
     *
     * @param instances number of instances; 0 only asks how many are loaded
     */
    void preload(String function, int instances, long timeoutMicros, OperationListener listener);

    /** Sends an unload request for the idle instances of the function. */
    void unload(String function, long timeoutMicros);

    /** Sends a health check. */
    void checkHealth(long timeoutMicros, OperationListener listener);

    /** Closes idle connections. */
    void closeIdle();

    /** Closes the client: idle connections now, others when their exchange ends. */
    void close();

    /** Returns the number of open connections. */
    int openConnections();

    /**
     * Returns since when there has always been a connection to the invoker, on the monotonic clock:
     * the time when the oldest open connection came up. {@link Long#MAX_VALUE} where none is open,
     * 0 where the time is not known.
     */
    default long connectedSinceMicros() {
        return 0;
    }

    /** An exchange that waits for a connection and may be withdrawn before it is sent. */
    interface Withdrawable {
        /**
         * Returns null if the exchange may be sent now, which counts as sent from then on, or how
         * it ends instead. An invoker client must call it right before the first byte is sent, and
         * again before each further try to send while nothing has been written. An exchange for
         * which it was never called counts as not sent.
         */
        default ExchangeResult.Kind checkBeforeSend() {
            return null;
        }

        /**
         * Called when the exchange was sent late because the process was stopped after {@link
         * #checkBeforeSend} had allowed it.
         *
         * @param delayMicros time from the check to the send
         */
        default void sendDelayed(long delayMicros) {}
    }

    /** Notified of the end of an attempt. */
    interface AttemptListener extends Withdrawable {
        /**
         * Called once, when the attempt has ended, and never before {@link #sendAttempt} has
         * returned.
         */
        void completed(AttemptResult result);
    }

    /** Notified of the end of a preload request or a health check. */
    interface OperationListener extends Withdrawable {
        /**
         * Called once, when the operation has ended.
         *
         * @param instances number of loaded instances of the function after a preload request;
         *     without meaning after any other operation
         */
        void completed(ExchangeResult result, int instances, LoadMetrics metrics);
    }
}
