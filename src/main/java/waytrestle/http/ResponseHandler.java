package waytrestle.http;

/** Hears of one end, on the loop and never within the call that began the exchange. */
public interface ResponseHandler {
    /** A complete response has come. */
    void answered(HttpMessage message);

    /** The exchange has ended without one. */
    void broken(ExchangeBreak how, String why);
}
