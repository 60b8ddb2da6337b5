package waytrestle.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
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
import waytrestle.scheduler.SchedulerCommand;
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
 * Every kind of scheduler command is carried out, every way an attempt can end reaches the
 * scheduler, and a failed decision is survived.
 */
class ControllerTest {
    private static final String ENDPOINT = "seat-charge";
    private static final SchedulerTimer TIMER = new RequestDeadline(77);
    private static final long TIMER_DELAY_MICROS = 1_000;
    private static final int PEER = 1;

    /** First four bytes of a gossip packet. */
    private static final int GOSSIP_MAGIC = 0x77747231;

    /** Bytes of a gossip packet before its message: the magic and the sender's number. */
    private static final int GOSSIP_HEADER_BYTES = 8;

    /** Time for an attempt to reach its invoker before it is cancelled or given up. */
    private static final long ATTEMPT_MICROS = 50_000;

    private interface Decision {
        void on(SchedulerEvent event, Sink commands);
    }

    private final List<SchedulerEvent> events = Collections.synchronizedList(new ArrayList<>());

    private Controller.SchedulerFactory scripted(Decision decision) {
        return (settings, seed) ->
                (now, event, commands) -> {
                    events.add(event);
                    decision.on(event, commands);
                };
    }

    private <T extends SchedulerEvent> List<T> received(Class<T> type) {
        synchronized (events) {
            return events.stream().filter(type::isInstance).map(type::cast).toList();
        }
    }

    private static HttpResponse<String> send(GatewayFixture fixture, String id, String function)
            throws Exception {
        return fixture.http.send(
                fixture.signed(ENDPOINT, id, fixture.soon(), GatewayFixture.body(function)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void everyKindOfCommandIsCarriedOut() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            String invoker = fixture.invokers.get(0);
            fixture.script = ControllerTest::respondToOperation;
            fixture.start(
                    fixture.text(false),
                    scripted(
                            (event, commands) -> {
                                if (event instanceof RequestReceived request) {
                                    addAllCommands(commands, request.id(), invoker);
                                }
                            }));
            assertEquals("ran", fixture.await(ENDPOINT, "m").body());
            GatewayFixture.until(this::allOperationsCompleted, "the end of each operation");
            GatewayFixture.until(
                    () -> fixture.asked.stream().anyMatch(a -> a.path().endsWith("/unload")),
                    "the unload request");
            assertOperationResults();
            assertRequestEvents();
        }
    }

    private static void respondToOperation(GatewayFixture.Asked asked) {
        switch (asked.path()) {
            case "/v2/repository/index" ->
                    asked.exchange()
                            .answer(
                                    200,
                                    "application/json",
                                    "[{\"name\":\"f\",\"state\":\"READY\",\"copies\":2}]"
                                            .getBytes(StandardCharsets.UTF_8));
            case "/v2/repository/models/f/load" -> respondWithMetric(asked, "copies=3");
            case "/v2/health/ready" -> respondWithMetric(asked, "queue=9");
            case "/v2/repository/models/f/unload" -> asked.status(200);
            default -> asked.ok("ran");
        }
    }

    private static void respondWithMetric(GatewayFixture.Asked asked, String metric) {
        asked.exchange()
                .answer(
                        200,
                        "",
                        new byte[0],
                        "endpoint-load-metrics",
                        "TEXT named_metrics." + metric);
    }

    private static void addAllCommands(Sink commands, long requestId, String invoker) {
        commands.add(new LogMessage("one line"));
        commands.add(new PreloadFunction(invoker, "f", 3));
        commands.add(new PreloadFunction(invoker, "f", 0));
        commands.add(new UnloadFunction(invoker, "f"));
        commands.add(new CheckHealth(invoker));
        commands.add(new CloseIdleConnections(invoker));
        commands.add(new FetchEndpoints());
        commands.add(new SubscribeToEndpoints(true));
        commands.add(new SetTimer(TIMER_DELAY_MICROS, TIMER));
        commands.add(new ForwardAttempt(requestId, invoker, 0));
    }

    private boolean allOperationsCompleted() {
        return received(PreloadCompleted.class).size() == 2
                && received(HealthCheckCompleted.class).size() == 1
                && received(TimerExpired.class).size() == 1
                && received(EndpointsUpdated.class).size() == 2;
    }

    private void assertOperationResults() {
        List<Integer> instances =
                received(PreloadCompleted.class).stream()
                        .map(PreloadCompleted::instances)
                        .sorted(Comparator.reverseOrder())
                        .toList();
        assertEquals(List.of(3, 2), instances);
        assertEquals(
                Map.of("queue", 9.0), received(HealthCheckCompleted.class).get(0).loadReport());
        assertEquals(TIMER, received(TimerExpired.class).get(0).timer());
        assertTrue(received(EndpointsUpdated.class).get(1).snapshot(), "the list fetched");
    }

    private void assertRequestEvents() {
        AttemptCompleted attempt = received(AttemptCompleted.class).get(0);
        assertEquals(SchedulerEvent.CONCURRENCY_NOT_REPORTED, attempt.concurrentRequests());
        assertEquals(StartKind.WARM, attempt.start());
        assertTrue(attempt.isFinal());
        assertEquals(0, received(RequestReceived.class).get(0).tenant());
    }

    @Test
    void gossipIsExchangedWithPeersAndDroppedFromStrangers() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1);
                DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            peer.setSoTimeout(5_000);
            String invoker = fixture.invokers.get(0);
            int gossipPort = freePort();
            byte[] sent = {5, 6};
            byte[] replied = {7, 8, 9};
            fixture.start(
                    fixture.text(false) + peerSettings(gossipPort, peer.getLocalPort()),
                    scripted(
                            (event, commands) -> {
                                if (event instanceof RequestReceived request) {
                                    commands.add(new SendGossip(SchedulerCommand.ALL_PEERS, sent));
                                    commands.add(new ForwardAttempt(request.id(), invoker, 0));
                                }
                            }));
            assertEquals("done", fixture.await(ENDPOINT, "m").body());
            DatagramPacket packet = new DatagramPacket(new byte[300], 300);
            peer.receive(packet);
            assertEquals(GOSSIP_HEADER_BYTES + sent.length, packet.getLength());
            DatagramPacket reply = gossipPacket(replied, gossipPort);
            stranger.send(reply);
            peer.send(reply);
            GatewayFixture.until(
                    () -> !received(GossipReceived.class).isEmpty(), "the peer's message");
            assertArrayEquals(replied, received(GossipReceived.class).get(0).message());
            assertEquals(
                    1, received(GossipReceived.class).size(), "a stranger's message is dropped");
        }
    }

    private static String peerSettings(int ownPort, int peerPort) {
        return """

        [peers]
        listen = "127.0.0.1:%d"
        [[peers.peer]]
        number = %d
        address = "127.0.0.1:%d"
        """
                .formatted(ownPort, PEER, peerPort);
    }

    private static DatagramPacket gossipPacket(byte[] message, int port) {
        byte[] packet =
                ByteBuffer.allocate(GOSSIP_HEADER_BYTES + message.length)
                        .putInt(GOSSIP_MAGIC)
                        .putInt(PEER)
                        .put(message)
                        .array();
        return new DatagramPacket(packet, packet.length, InetAddress.getLoopbackAddress(), port);
    }

    private static int freePort() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** A way an attempt can end, with its code and the status that the client gets. */
    private enum Ending {
        CANCELLED(ResponseCode.CANCELLED, 502),
        SILENT(ResponseCode.TIMEOUT, 502),
        EXPIRED(ResponseCode.NOT_SENT, 502),
        BUSY(ResponseCode.FULL, 502),
        MALFORMED(ResponseCode.ERROR, 502),
        CONNECTION_RESET(ResponseCode.RESET, 502),
        SERVED(ResponseCode.OK, 200),
        FUNCTION_ERROR(ResponseCode.ERROR, 500),
        FULL(ResponseCode.FULL, 502),
        NOT_LOADED(ResponseCode.NOT_LOADED, 404),
        UNREACHABLE(ResponseCode.CONNECT_FAILED, 502);

        private final ResponseCode code;
        private final int clientStatus;

        Ending(ResponseCode code, int clientStatus) {
            this.code = code;
            this.clientStatus = clientStatus;
        }

        /** Whether the client gets what the function responded, without a problem detail. */
        private boolean isFunctionResponse() {
            return this == SERVED || this == FUNCTION_ERROR;
        }
    }

    @Test
    void everyWayAnAttemptEndsReachesTheSchedulerByItsCode() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            String invoker = fixture.invokers.get(0);
            Map<Long, Ending> endings = Collections.synchronizedMap(new HashMap<>());
            Map<Ending, ResponseCode> codes = Collections.synchronizedMap(new HashMap<>());
            fixture.script = ControllerTest::respondWithEnding;
            fixture.start(
                    fixture.text(false),
                    scripted(
                            (event, commands) -> {
                                if (event instanceof RequestReceived request) {
                                    Ending ending = Ending.valueOf(request.function());
                                    endings.put(request.id(), ending);
                                    forward(commands, request.id(), ending, invoker);
                                } else if (event instanceof TimerExpired expired
                                        && expired.timer() instanceof RequestDeadline deadline) {
                                    commands.add(new CancelAttempt(deadline.requestId(), 0));
                                } else if (event instanceof AttemptCompleted attempt) {
                                    codes.put(endings.get(attempt.id()), attempt.code());
                                    failUnlessFinal(commands, attempt);
                                }
                            }));
            Map<Ending, ResponseCode> expectedCodes = new HashMap<>();
            for (Ending ending : Ending.values()) {
                expectedCodes.put(ending, ending.code);
                assertResponse(ending, send(fixture, ending.name(), ending.name()));
            }
            assertEquals(expectedCodes, codes);
        }
    }

    private static void respondWithEnding(GatewayFixture.Asked asked) {
        switch (Ending.valueOf(asked.id().substring(asked.id().indexOf(' ') + 1))) {
            case SERVED -> asked.ok("fine");
            case FULL -> asked.status(503);
            case BUSY -> asked.status(429);
            case NOT_LOADED -> asked.status(404);
            case FUNCTION_ERROR -> asked.status(500);
            case MALFORMED ->
                    asked.exchange()
                            .answer(
                                    200,
                                    "application/json",
                                    "{\"outputs\"".getBytes(StandardCharsets.UTF_8));
            case CONNECTION_RESET -> asked.exchange().reset();
            default -> {
                // CANCELLED and SILENT get no response; the others do not reach the invoker.
            }
        }
    }

    private static void forward(Sink commands, long requestId, Ending ending, String invoker) {
        long now = Loop.nowMicros();
        switch (ending) {
            case UNREACHABLE -> commands.add(new ForwardAttempt(requestId, "127.0.0.1:1", 0));
            case SILENT ->
                    commands.add(new ForwardAttempt(requestId, invoker, now + ATTEMPT_MICROS));
            case EXPIRED -> commands.add(new ForwardAttempt(requestId, invoker, 1));
            default -> commands.add(new ForwardAttempt(requestId, invoker, 0));
        }
        if (ending == Ending.CANCELLED) {
            commands.add(new SetTimer(ATTEMPT_MICROS, new RequestDeadline(requestId)));
        }
    }

    private static void failUnlessFinal(Sink commands, AttemptCompleted attempt) {
        if (!attempt.isFinal()) {
            commands.add(new FailRequest(attempt.id()));
        }
    }

    private static void assertResponse(Ending ending, HttpResponse<String> response) {
        String description = ending + response.body();
        assertEquals(ending.clientStatus, response.statusCode(), description);
        boolean harmless = PendingRequests.provesNotRun(ending.code);
        assertTrue(
                ending.isFunctionResponse() || response.body().contains("\"harmless\":" + harmless),
                description);
        if (ending == Ending.FUNCTION_ERROR) {
            assertEquals("{\"error\":\"x\"}", response.body());
            assertEquals(
                    "false",
                    response.headers().firstValue("waytrestle-harmless").orElse(""),
                    description);
        }
    }

    @Test
    void aFailedDecisionFailsItsRequestAloneAndTooManyStopTheProcess() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            String invoker = fixture.invokers.get(0);
            fixture.start(
                    fixture.text(false).replace("most = 10", "most = 2"),
                    scripted(
                            (event, commands) -> {
                                if (event instanceof RequestReceived request) {
                                    if (request.function().equals("bad")) {
                                        throw new IllegalStateException("scripted");
                                    }
                                    commands.add(new ForwardAttempt(request.id(), invoker, 0));
                                }
                            }));
            for (int i = 0; i < 3; i++) {
                assertEquals(200, fixture.await(ENDPOINT, "good" + i).statusCode());
                HttpResponse<String> response = send(fixture, "bad" + i, "bad");
                assertEquals(500, response.statusCode());
                assertTrue(
                        response.body().contains("\"harmless\":true"),
                        "never sent: " + response.body());
            }
            assertEquals(
                    3, fixture.gateway.join(10_000), "the third failure exceeds the threshold");
        }
    }

    /** The pending requests respond before the deadline where the scheduler forgets a request. */
    @Test
    void aRequestThatTheSchedulerNeverDecidesIsFailedAtItsDeadline() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.start(
                    fixture.text(false)
                            .replace(
                                    "deadline_ms = 5000\nworth = 2",
                                    "deadline_ms = 1300\nworth = 2"),
                    scripted((event, commands) -> {}));
            assertEquals(504, fixture.await(ENDPOINT, "m").statusCode());
            // The response is written before the scheduler hears of it, on another thread than
            // this.
            GatewayFixture.until(
                    () -> !received(RequestAbandoned.class).isEmpty(), "the abandonment");
            assertEquals(1, received(RequestAbandoned.class).size());
        }
    }
}
