package waytrestle.front;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import waytrestle.http.HttpError;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpServer;
import waytrestle.http.Problem;

/** Gives each message to the front that owns its path. */
public final class Router implements HttpServer.Handler {
    private final List<FrontEnd> fronts;
    private long nowhere;

    public Router(List<FrontEnd> fronts) {
        this.fronts = fronts;
    }

    private FrontEnd of(String path) {
        for (FrontEnd front : fronts) {
            if (front.handlesPath(path)) {
                return front;
            }
        }
        return null;
    }

    @Override
    public int checkHead(HttpMessage head) {
        FrontEnd front = of(head.path());
        return front == null ? 404 : front.checkHead(head);
    }

    @Override
    public void handle(HttpServer.Exchange e) {
        FrontEnd front = of(e.message().path());
        if (front != null) {
            front.handle(e);
            return;
        }
        nowhere++;
        e.answer(
                404,
                Problem.TYPE,
                Problem.of(404, "no-endpoint", "there is no endpoint at this path", true).bytes());
    }

    @Override
    public HttpServer.Refusal refusal(String path, HttpError e) {
        FrontEnd front = path == null ? null : of(path);
        return front == null ? HttpServer.Handler.super.refusal(path, e) : front.refusal(path, e);
    }

    /** What all fronts turned away, by reason. */
    public Map<String, Long> rejectedMessagesByReason() {
        Map<String, Long> all = new TreeMap<>();
        fronts.forEach(
                f ->
                        f.rejectedMessagesByReason()
                                .forEach((reason, n) -> all.merge(reason, n, Long::sum)));
        if (nowhere > 0) {
            all.merge("no-endpoint", nowhere, Long::sum);
        }
        return all;
    }
}
