package waytrestle.front;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import waytrestle.http.HttpError;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpServer;
import waytrestle.http.Problem;

/**
 * Passes each message to the front end that handles its path.
 *
 * <p>Not thread-safe: used by the event loop of its HTTP server.
 */
public final class Router implements HttpServer.Handler {
    private final List<FrontEnd> frontEnds;
    private long messagesToUnknownPaths;

    /** Creates a router; of front ends that handle a path, the first gets its messages. */
    public Router(List<FrontEnd> frontEnds) {
        this.frontEnds = frontEnds;
    }

    /** Returns the front end that handles the path, null if none does. */
    private FrontEnd frontEndFor(String path) {
        for (FrontEnd frontEnd : frontEnds) {
            if (frontEnd.handlesPath(path)) {
                return frontEnd;
            }
        }
        return null;
    }

    @Override
    public int checkHead(HttpMessage head) {
        FrontEnd frontEnd = frontEndFor(head.path());
        return frontEnd == null ? 404 : frontEnd.checkHead(head);
    }

    @Override
    public void handle(HttpServer.Exchange exchange) {
        FrontEnd frontEnd = frontEndFor(exchange.message().path());
        if (frontEnd != null) {
            frontEnd.handle(exchange);
            return;
        }
        messagesToUnknownPaths++;
        exchange.answer(
                404,
                Problem.TYPE,
                Problem.of(404, "no-endpoint", "there is no endpoint at this path", true).bytes());
    }

    @Override
    public HttpServer.Refusal refusal(String path, HttpError error) {
        FrontEnd frontEnd = path == null ? null : frontEndFor(path);
        return frontEnd == null
                ? HttpServer.Handler.super.refusal(path, error)
                : frontEnd.refusal(path, error);
    }

    /** Returns the number of messages that were rejected before becoming requests, by reason. */
    public Map<String, Long> rejectedMessagesByReason() {
        Map<String, Long> counts = new TreeMap<>();
        frontEnds.forEach(
                frontEnd ->
                        frontEnd.rejectedMessagesByReason()
                                .forEach(
                                        (reason, count) -> counts.merge(reason, count, Long::sum)));
        if (messagesToUnknownPaths > 0) {
            counts.merge("no-endpoint", messagesToUnknownPaths, Long::sum);
        }
        return counts;
    }
}
