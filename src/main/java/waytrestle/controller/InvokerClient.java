package waytrestle.controller;

import waytrestle.controller.InvokerClient.AttemptListener;
import waytrestle.controller.InvokerClient.OperationListener;
import waytrestle.controller.InvokerClient.Withdrawable;
import waytrestle.invoker.LoadMetrics;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.responses.ExchangeResult;

/** The way to one invoker. */
public interface InvokerClient {
    /** Sends an attempt; what is returned cancels it. */
    Runnable sendAttempt(
            IncomingRequest call, String id, int attempt, long withinMicros, AttemptListener ended);

    /** Holds at least so many copies, or (0) asks how many stand. */
    void preload(String function, int copies, long withinMicros, OperationListener told);

    void unload(String function, long withinMicros);

    void checkHealth(long withinMicros, OperationListener told);

    void closeIdle();

    /** Closes idle connections now, others when their exchange ends. */
    void close();

    int connections();

    /** Something that waits for a connection. */
    interface Withdrawable {
        /**
         * Asked before the first byte is sent, which may be late: how it ends instead, or null to
         * send it.
         */
        default ExchangeResult.Kind withdrawal() {
            return null;
        }
    }

    /** Hears how an attempt ended, once and never within the call that began it. */
    interface AttemptListener extends Withdrawable {
        void completed(AttemptResult came);
    }

    /** Hears how an order or a probe ended; copies that stand, where that was asked. */
    interface OperationListener extends Withdrawable {
        void completed(ExchangeResult reply, int copies, LoadMetrics told);
    }
}
