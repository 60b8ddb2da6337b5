package waytrestle.controller;

import waytrestle.Bytes;
import waytrestle.invoker.LoadMetrics;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.responses.ExchangeResult;

/**
 * What came of an attempt: the answer with ANSWER alone, type and body of any other message, the
 * load report.
 */
public record AttemptResult(
        ExchangeResult result, Served served, String contentType, Bytes body, LoadMetrics metrics) {
    /** Nothing but how it ended. */
    public static AttemptResult of(ExchangeResult.Kind how) {
        return new AttemptResult(ExchangeResult.of(how), null, "", Bytes.NONE, LoadMetrics.NONE);
    }
}
