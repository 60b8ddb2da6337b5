package waytrestle.platform;

import waytrestle.http.HttpServer;

/** What the fixture's invoker does with each request; runs on the invoker's event loop. */
@FunctionalInterface
interface InvokerScript {
    /** Answers the exchange, now or later on the loop, or not at all. */
    void handle(HttpServer.Exchange exchange) throws Exception;
}
