package waytrestle.controller;

import waytrestle.Bytes;
import waytrestle.invoker.LoadMetrics;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.responses.ExchangeResult;

/**
 * What an attempt ended with.
 *
 * @param exchangeResult how the exchange ended
 * @param functionResponse the function's response, only where the exchange ended with {@link
 *     ExchangeResult.Kind#RESPONSE}; null otherwise
 * @param contentType the content type of any other message; empty without one
 * @param body the body of any other message
 * @param metrics the invoker's load report
 */
public record AttemptResult(
        ExchangeResult exchangeResult,
        Served functionResponse,
        String contentType,
        Bytes body,
        LoadMetrics metrics) {
    /** A result without any message. */
    public static AttemptResult of(ExchangeResult.Kind kind) {
        return new AttemptResult(ExchangeResult.of(kind), null, "", Bytes.NONE, LoadMetrics.NONE);
    }
}
