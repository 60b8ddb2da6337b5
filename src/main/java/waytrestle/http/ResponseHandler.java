package waytrestle.http;

/** Hears of one end, on the loop and never within the call that began the exchange. */
public interface ResponseHandler {
    /** A complete response has come. */
    void responseReceived(HttpMessage message);

    /** The exchange has ended without one. */
    void exchangeFailed(ExchangeFailure how, String why);
}
