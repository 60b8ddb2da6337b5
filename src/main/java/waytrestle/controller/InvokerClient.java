package waytrestle.controller;

import waytrestle.invoker.LoadMetrics;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.responses.ExchangeResult;

/**
 * The client of one invoker. All methods are called, and all listeners are notified, on the
 * controller's event loop.
 */
public interface InvokerClient {
    /**
     * Sends an attempt of a request.
     *
     * @param id the request's id as the invoker is to see it
     * @param withinMicros the time after which the attempt is given up
     * @return cancels the attempt
     */
    Runnable sendAttempt(
            IncomingRequest request,
            String id,
            int attempt,
            long withinMicros,
            AttemptListener listener);

    /**
     * Sends a preload request: hold at least so many instances of the function.
     *
     * @param instances 0 only asks how many are loaded
     */
    void preload(String function, int instances, long withinMicros, OperationListener listener);

    /** Unloads the idle instances of the function. */
    void unload(String function, long withinMicros);

    /** Sends a health check. */
    void checkHealth(long withinMicros, OperationListener listener);

    /** Closes idle connections. */
    void closeIdle();

    /** Closes idle connections now, others when their exchange ends. */
    void close();

    /** Open connections. */
    int openConnections();

    /**
     * Since when there has been a connection to the invoker at all times: when the oldest one that
     * is open came up. {@link Long#MAX_VALUE} without one, 0 where that is not known.
     */
    default long connectedSinceMicros() {
        return 0;
    }

    /** Something that waits for a connection and may be withdrawn before it is sent. */
    interface Withdrawable {
        /**
         * To be called before the first byte is sent, which may be late, and again before each
         * further try while nothing has been written: how the exchange ends instead, or null to
         * send it. What was never asked for counts as not sent.
         */
        default ExchangeResult.Kind checkBeforeSend() {
            return null;
        }

        /**
         * It was sent so long after {@link #checkBeforeSend} had allowed it, since the process was
         * stopped between the two.
         */
        default void sendDelayed(long micros) {}
    }

    /** Waits for the end of an attempt. */
    interface AttemptListener extends Withdrawable {
        /** The attempt has ended; called once, never within the call that began it. */
        void completed(AttemptResult result);
    }

    /** Waits for the end of a preload request or a health check. */
    interface OperationListener extends Withdrawable {
        /**
         * The operation has ended; called once.
         *
         * @param instances loaded instances of the function, where that was asked
         */
        void completed(ExchangeResult result, int instances, LoadMetrics metrics);
    }
}
