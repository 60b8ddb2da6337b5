package waytrestle.responses;

import waytrestle.scheduler.ResponseCode;

/**
 * Classifies the ends of attempts for a controller, and decides which requests, attempts and
 * endpoint lists pass between the controller and its scheduler.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public interface ResponseClassifier {
    /** Handles an event and adds the commands that follow from it to the sink, in order. */
    void handle(long nowMicros, ClassifierEvent event, ClassifierCommand.Sink commands);

    /** Returns the response code for the result of a preload request or a health check. */
    ResponseCode codeOfPreloadOrHealthCheck(ExchangeResult result);

    /**
     * Returns the number of entries held for open requests and attempts in flight; 0 if there are
     * none.
     */
    int retainedEntries();
}
