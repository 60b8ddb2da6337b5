package waytrestle.responses;

import waytrestle.scheduler.ResponseCode;

/**
 * Stands between a controller and its scheduler: classifies how attempts end, and admits requests,
 * attempts and endpoint lists on their way.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public interface ResponseClassifier {
    /** Handles an event and adds the commands that follow from it, in order. */
    void handle(long nowMicros, ClassifierEvent event, ClassifierCommand.Sink out);

    /** The code of the response to a preload request or a health check. */
    ResponseCode codeOfPreloadOrHealthCheck(ExchangeResult reply);

    /** Number of entries held for open requests; 0 when none is open. */
    int retainedEntries();
}
