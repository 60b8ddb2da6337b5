package waytrestle.play;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import waytrestle.front.webhook.Signatures;
import waytrestle.http.ExchangeFailure;
import waytrestle.http.FairByteLimit;
import waytrestle.http.HttpClient;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpWriter;
import waytrestle.http.ResponseHandler;
import waytrestle.net.Loop;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/** Clients' way over sockets: signed webhooks and KServe calls. */
final class HttpWay implements Clients.Way {
    /** The KServe clients' bearer key in every play. */
    static final String BEARER = "play-key-0123456789abcdef";

    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<RequestClass> classes;
    private final List<HttpClient> controllers = new ArrayList<>();
    private final List<String> hosts = new ArrayList<>();

    HttpWay(Loop loop, List<InetSocketAddress> at, List<RequestClass> classes) {
        this.classes = classes;
        for (InetSocketAddress each : at) {
            controllers.add(
                    new HttpClient(
                            loop,
                            each,
                            HttpLimits.DEFAULT,
                            4_000,
                            500_000,
                            10_000_000,
                            new FairByteLimit(Long.MAX_VALUE)));
            hosts.add("127.0.0.1:" + each.getPort());
        }
    }

    @Override
    public int controllers() {
        return controllers.size();
    }

    @Override
    public long strays(int controller) {
        return controllers.get(controller).strayResponses();
    }

    @Override
    public void call(int controller, Clients.Call call, long within, Clients.Handler handler) {
        controllers
                .get(controller)
                .call(
                        within,
                        new ResponseHandler() {
                            @Override
                            public void responseReceived(HttpMessage m) {
                                if (m.status() == 200) {
                                    handler.answered(200, false, 0);
                                    return;
                                }
                                try {
                                    JsonNode problem = JSON.readTree(m.body());
                                    handler.answered(
                                            m.status(),
                                            problem.path("harmless")
                                                    .asBoolean(
                                                            "true"
                                                                    .equals(
                                                                            m.header(
                                                                                    "waytrestle-harmless"))),
                                            problem.path("retry_after_ms").asLong(0));
                                } catch (IOException e) {
                                    handler.answered(m.status(), false, 0);
                                }
                            }

                            @Override
                            public void exchangeFailed(ExchangeFailure how, String why) {
                                handler.broken(how);
                            }
                        },
                        call.kserve()
                                ? infer(call, hosts.get(controller))
                                : webhook(call, hosts.get(controller)));
    }

    private static ByteBuffer[] infer(Clients.Call call, String host) {
        byte[] json =
                ("{\"inputs\":[{\"name\":\"payload\",\"shape\":[1],\"datatype\":\"BYTES\",\"data\":["
                                + JSON.getNodeFactory().textNode(call.payload())
                                + "]}]}")
                        .getBytes(StandardCharsets.US_ASCII);
        return new ByteBuffer[] {
            HttpWriter.request("POST", "/v2/models/" + call.target().function() + "/infer", host)
                    .header("Content-Type", "application/json")
                    .header("Idempotency-Key", call.id())
                    .header("Authorization", "Bearer " + BEARER)
                    .head(json.length),
            ByteBuffer.wrap(json)
        };
    }

    private ByteBuffer[] webhook(Clients.Call call, String host) {
        byte[] payload = call.payload().getBytes(StandardCharsets.US_ASCII);
        String at = Long.toString(System.currentTimeMillis() / 1_000);
        return new ByteBuffer[] {
            HttpWriter.request(
                            "POST",
                            "/hooks/" + classes.get(call.target().requestClass()).name(),
                            host)
                    .header("Content-Type", "application/json")
                    .header("webhook-id", call.id())
                    .header("webhook-timestamp", at)
                    .header(
                            "webhook-signature",
                            Signatures.sign(Cast.SECRET, call.id(), at, payload))
                    .head(payload.length),
            ByteBuffer.wrap(payload)
        };
    }
}
