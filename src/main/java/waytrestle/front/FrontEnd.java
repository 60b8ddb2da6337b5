package waytrestle.front;

import java.util.Map;
import waytrestle.http.HttpServer;

/**
 * A way for calls to come in: it owns paths, understands their messages and brings calls to the
 * core's intake.
 */
public interface FrontEnd extends HttpServer.Handler {
    boolean handlesPath(String path);

    /** Messages that never became calls, by reason. */
    Map<String, Long> rejectedMessagesByReason();
}
