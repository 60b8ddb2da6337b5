package waytrestle.http;

/**
 * Receives the outcome of one exchange: exactly one of the two methods is called, once, on the
 * client's event loop and never from within the call that started the exchange.
 */
public interface ResponseHandler {
    /** Called when a complete response has been received. */
    void responseReceived(HttpMessage response);

    /**
     * Called when the exchange has ended without a complete response.
     *
     * @param detail the cause, for the log
     */
    void exchangeFailed(ExchangeFailure failure, String detail);
}
