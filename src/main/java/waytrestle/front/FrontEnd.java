package waytrestle.front;

import java.util.Map;
import waytrestle.http.HttpServer;

/**
 * The front end of one client protocol: it parses the messages to its paths and hands the requests
 * in them to a {@link waytrestle.requests.RequestHandler}.
 *
 * <p>Not thread-safe: used by the event loop of its HTTP server.
 */
public interface FrontEnd extends HttpServer.Handler {
    /** Returns whether messages to the path are for this front end. */
    boolean handlesPath(String path);

    /**
     * Returns the number of messages that were rejected without becoming requests, by reason; the
     * reasons are metric labels.
     */
    Map<String, Long> rejectedMessagesByReason();
}
