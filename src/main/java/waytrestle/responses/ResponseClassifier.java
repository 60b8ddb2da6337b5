package waytrestle.responses;

import waytrestle.scheduler.ResponseCode;

/**
 * Says what the ends of attempts come to, and lets calls, attempts and the list of invokers pass on
 * their way.
 */
public interface ResponseClassifier {
    void handle(long nowMicros, ClassifierEvent event, ClassifierCommand.Sink out);

    /** The module's code of an order's or a probe's reply, which no function answers. */
    ResponseCode codeOfPreload(ExchangeResult reply);

    /** Everything held for open calls; nothing when none is open. */
    int retainedEntries();
}
