package waytrestle.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import waytrestle.controller.Controller;
import waytrestle.net.Loop;
import waytrestle.requests.PendingRequests;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerCommand.CancelAttempt;
import waytrestle.scheduler.SchedulerCommand.CheckHealth;
import waytrestle.scheduler.SchedulerCommand.CloseIdleConnections;
import waytrestle.scheduler.SchedulerCommand.FailRequest;
import waytrestle.scheduler.SchedulerCommand.FetchEndpoints;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.LogMessage;
import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerCommand.SendGossip;
import waytrestle.scheduler.SchedulerCommand.SetTimer;
import waytrestle.scheduler.SchedulerCommand.Sink;
import waytrestle.scheduler.SchedulerCommand.SubscribeToEndpoints;
import waytrestle.scheduler.SchedulerCommand.UnloadFunction;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerEvent.AttemptCompleted;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.GossipReceived;
import waytrestle.scheduler.SchedulerEvent.HealthCheckCompleted;
import waytrestle.scheduler.SchedulerEvent.PreloadCompleted;
import waytrestle.scheduler.SchedulerEvent.RequestAbandoned;
import waytrestle.scheduler.SchedulerEvent.RequestReceived;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;
import waytrestle.scheduler.SchedulerTimer;
import waytrestle.scheduler.SchedulerTimer.RequestDeadline;
import waytrestle.scheduler.StartKind;

/**
 * The module's host: every kind of action is carried out, every kind of end is told, a failed
 * decision is survived.
 */
class ControllerTest {
    private static final SchedulerTimer MINE = new RequestDeadline(77);

    private interface Decision {
        void on(SchedulerEvent event, Sink out);
    }

    private final List<SchedulerEvent> events = Collections.synchronizedList(new ArrayList<>());

    private Controller.SchedulerFactory scripted(Decision decision) {
        return (settings, seed) ->
                (now, event, out) -> {
                    events.add(event);
                    decision.on(event, out);
                };
    }

    private <T extends SchedulerEvent> List<T> seen(Class<T> type) {
        synchronized (events) {
            return events.stream().filter(type::isInstance).map(type::cast).toList();
        }
    }

    @Test
    void everyKindOfActionIsCarriedOut() throws Exception {
        try (GatewayFixture bed = new GatewayFixture(1);
                DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            peer.setSoTimeout(5_000);
            String to = bed.invokers.get(0);
            int own = freePort();
            bed.script =
                    a -> {
                        switch (a.path()) {
                            case "/v2/repository/index" ->
                                    a.exchange()
                                            .answer(
                                                    200,
                                                    "application/json",
                                                    "[{\"name\":\"f\",\"state\":\"READY\",\"copies\":2}]"
                                                            .getBytes());
                            case "/v2/repository/models/f/load" ->
                                    a.exchange()
                                            .answer(
                                                    200,
                                                    "",
                                                    new byte[0],
                                                    "endpoint-load-metrics",
                                                    "TEXT named_metrics.copies=3");
                            case "/v2/health/ready" ->
                                    a.exchange()
                                            .answer(
                                                    200,
                                                    "",
                                                    new byte[0],
                                                    "endpoint-load-metrics",
                                                    "TEXT named_metrics.queue=9");
                            case "/v2/repository/models/f/unload" -> a.status(200);
                            default -> a.ok("ran");
                        }
                    };
            bed.start(
                    bed.text(false)
                            + "\n[peers]\nlisten = \"127.0.0.1:"
                            + own
                            + "\"\n[[peers.peer]]\nnumber = 1\n"
                            + "address = \"127.0.0.1:"
                            + peer.getLocalPort()
                            + "\"\n",
                    scripted(
                            (event, out) -> {
                                if (event instanceof RequestReceived r) {
                                    out.add(new LogMessage("one line"));
                                    out.add(new PreloadFunction(to, "f", 3));
                                    out.add(new PreloadFunction(to, "f", 0));
                                    out.add(new UnloadFunction(to, "f"));
                                    out.add(new CheckHealth(to));
                                    out.add(new CloseIdleConnections(to));
                                    out.add(new SendGossip(-1, new byte[] {5, 6}));
                                    out.add(new FetchEndpoints());
                                    out.add(new SubscribeToEndpoints(true));
                                    out.add(new SetTimer(1_000, MINE));
                                    out.add(new ForwardAttempt(r.id(), to, 0));
                                }
                            }));
            HttpResponse<String> r = bed.await("seat-charge", "m");
            assertEquals("ran", r.body());
            GatewayFixture.until(
                    () ->
                            seen(PreloadCompleted.class).size() == 2
                                    && seen(HealthCheckCompleted.class).size() == 1
                                    && seen(TimerExpired.class).size() == 1
                                    && seen(EndpointsUpdated.class).size() == 2,
                    "all that was asked");
            assertEquals(
                    List.of(3, 2),
                    seen(PreloadCompleted.class).stream()
                            .sorted(Comparator.comparing(o -> -o.instances()))
                            .map(PreloadCompleted::instances)
                            .toList());
            assertEquals(
                    Map.of("queue", 9.0), seen(HealthCheckCompleted.class).get(0).loadReport());
            assertEquals(MINE, seen(TimerExpired.class).get(0).timer());
            assertTrue(seen(EndpointsUpdated.class).get(1).snapshot(), "the list fetched");
            GatewayFixture.until(
                    () -> bed.asked.stream().anyMatch(a -> a.path().endsWith("/unload")),
                    "the unload");
            DatagramPacket packet = new DatagramPacket(new byte[300], 300);
            peer.receive(packet);
            assertEquals(10, packet.getLength());
            byte[] hello =
                    ByteBuffer.allocate(11)
                            .putInt(0x77747231)
                            .putInt(1)
                            .put(new byte[] {7, 8, 9})
                            .array();
            DatagramPacket back =
                    new DatagramPacket(hello, hello.length, InetAddress.getLoopbackAddress(), own);
            stranger.send(back);
            peer.send(back);
            GatewayFixture.until(() -> !seen(GossipReceived.class).isEmpty(), "the peer's word");
            assertArrayEquals(new byte[] {7, 8, 9}, seen(GossipReceived.class).get(0).message());
            assertEquals(1, seen(GossipReceived.class).size(), "a stranger's word is dropped");
            RequestReceived request = seen(RequestReceived.class).get(0);
            assertEquals(-1, seen(AttemptCompleted.class).get(0).concurrentRequests());
            assertEquals(StartKind.WARM, seen(AttemptCompleted.class).get(0).start());
            assertTrue(seen(AttemptCompleted.class).get(0).isFinal());
            assertEquals(0, request.tenant());
        }
    }

    private static int freePort() throws Exception {
        try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    /**
     * Each way an attempt can end reaches the module under the code that the wire's page gives it.
     */
    @Test
    void everyWayAnAttemptEndsIsToldByItsCode() throws Exception {
        try (GatewayFixture bed = new GatewayFixture(1)) {
            String to = bed.invokers.get(0);
            Map<String, ResponseCode> expected =
                    new HashMap<>(
                            Map.of(
                                    "ok",
                                    ResponseCode.OK,
                                    "full",
                                    ResponseCode.FULL,
                                    "busy",
                                    ResponseCode.FULL,
                                    "miss",
                                    ResponseCode.NOT_LOADED,
                                    "error",
                                    ResponseCode.ERROR,
                                    "garbage",
                                    ResponseCode.ERROR,
                                    "reset",
                                    ResponseCode.RESET,
                                    "silent",
                                    ResponseCode.TIMEOUT,
                                    "gone",
                                    ResponseCode.CONNECT_FAILED,
                                    "moot",
                                    ResponseCode.NOT_SENT));
            expected.put("cancel", ResponseCode.CANCELLED);
            bed.script =
                    a -> {
                        String what = a.id().substring(a.id().indexOf(' ') + 1);
                        switch (what) {
                            case "ok" -> a.ok("fine");
                            case "full" -> a.status(503);
                            case "busy" -> a.status(429);
                            case "miss" -> a.status(404);
                            case "error" -> a.status(500);
                            case "garbage" ->
                                    a.exchange()
                                            .answer(
                                                    200,
                                                    "application/json",
                                                    "{\"outputs\"".getBytes());
                            case "reset" -> a.exchange().reset();
                            default -> {}
                        }
                    };
            Map<Long, String> names = Collections.synchronizedMap(new HashMap<>());
            Map<String, ResponseCode> got = Collections.synchronizedMap(new HashMap<>());
            bed.start(
                    bed.text(false),
                    scripted(
                            (event, out) -> {
                                if (event instanceof RequestReceived r) {
                                    names.put(r.id(), r.function());
                                    long soon = Loop.now();
                                    out.add(
                                            new ForwardAttempt(
                                                    r.id(),
                                                    r.function().equals("gone")
                                                            ? "127.0.0.1:1"
                                                            : to,
                                                    r.function().equals("silent")
                                                            ? soon + 50_000
                                                            : r.function().equals("moot") ? 1 : 0));
                                    if (r.function().equals("cancel")) {
                                        out.add(new SetTimer(50_000, new RequestDeadline(r.id())));
                                    }
                                } else if (event instanceof TimerExpired t
                                        && t.timer() instanceof RequestDeadline deadline) {
                                    out.add(new CancelAttempt(deadline.requestId(), 0));
                                } else if (event instanceof AttemptCompleted e) {
                                    got.put(names.get(e.id()), e.code());
                                    if (!e.isFinal()) {
                                        out.add(new FailRequest(e.id()));
                                    }
                                }
                            }));
            for (String each : expected.keySet()) {
                HttpResponse<String> r =
                        bed.http.send(
                                bed.signed(
                                                "seat-charge",
                                                each,
                                                bed.soon(),
                                                GatewayFixture.body(each))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
                Map<String, Integer> statuses = Map.of("ok", 200, "error", 500, "miss", 404);
                assertEquals(statuses.getOrDefault(each, 502), r.statusCode(), each + r.body());
                boolean proved = PendingRequests.provesNotRun(expected.get(each));
                assertTrue(
                        each.equals("ok")
                                || each.equals("error")
                                || r.body().contains("\"harmless\":" + proved),
                        each + r.body());
                assertTrue(
                        !each.equals("error")
                                || r.body().equals("{\"error\":\"x\"}")
                                        && r.headers()
                                                .firstValue("waytrestle-harmless")
                                                .orElse("")
                                                .equals("false"),
                        r.body());
            }
            assertEquals(expected, got);
        }
    }

    @Test
    void aFailedDecisionFailsItsCallAloneAndTooManyStopTheProcess() throws Exception {
        try (GatewayFixture bed = new GatewayFixture(1)) {
            String to = bed.invokers.get(0);
            bed.start(
                    bed.text(false).replace("most = 10", "most = 2"),
                    scripted(
                            (event, out) -> {
                                if (event instanceof RequestReceived r) {
                                    if (r.function().equals("bad")) {
                                        throw new IllegalStateException("scripted");
                                    }
                                    out.add(new ForwardAttempt(r.id(), to, 0));
                                }
                            }));
            for (int i = 0; i < 3; i++) {
                assertEquals(200, bed.await("seat-charge", "good" + i).statusCode());
                HttpResponse<String> r =
                        bed.http.send(
                                bed.signed(
                                                "seat-charge",
                                                "bad" + i,
                                                bed.soon(),
                                                GatewayFixture.body("bad"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
                assertEquals(500, r.statusCode());
                assertTrue(r.body().contains("\"harmless\":true"), "never sent: " + r.body());
            }
            assertEquals(
                    3, bed.gateway.join(10_000), "after the third the process stops by its rule");
        }
    }

    /**
     * A module that forgets its calls: the desk's backstop answers them before their time is up.
     */
    @Test
    void aModuleThatNeverDecidesLosesNoCall() throws Exception {
        try (GatewayFixture bed = new GatewayFixture(1)) {
            bed.start(
                    bed.text(false)
                            .replace(
                                    "deadline_ms = 5000\nworth = 2",
                                    "deadline_ms = 1300\nworth = 2"),
                    scripted((event, out) -> {}));
            assertEquals(504, bed.await("seat-charge", "m").statusCode());
            assertEquals(1, seen(RequestAbandoned.class).size());
        }
    }
}
