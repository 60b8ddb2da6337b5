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
    private final List<Front> fronts;
    private long nowhere;

    public Router(List<Front> fronts) {
        this.fronts = fronts;
    }

    private Front of(String path) {
        for (Front front : fronts) {
            if (front.owns(path)) {
                return front;
            }
        }
        return null;
    }

    @Override
    public int checkHead(HttpMessage head) {
        Front front = of(head.path());
        return front == null ? 404 : front.checkHead(head);
    }

    @Override
    public void handle(HttpServer.Exchange e) {
        Front front = of(e.message().path());
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
        Front front = path == null ? null : of(path);
        return front == null ? HttpServer.Handler.super.refusal(path, e) : front.refusal(path, e);
    }

    /** What all fronts turned away, by reason. */
    public Map<String, Long> turnedAway() {
        Map<String, Long> all = new TreeMap<>();
        fronts.forEach(f -> f.turnedAway().forEach((reason, n) -> all.merge(reason, n, Long::sum)));
        if (nowhere > 0) {
            all.merge("no-endpoint", nowhere, Long::sum);
        }
        return all;
    }
}
