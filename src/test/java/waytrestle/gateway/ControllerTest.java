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
import waytrestle.scheduler.SchedulerTimer.EndpointResubscription;
import waytrestle.scheduler.SchedulerTimer.QueuedRequestRetry;
import waytrestle.scheduler.SchedulerTimer.RequestDeadline;
import waytrestle.scheduler.StartKind;

/**
 * Tests the controller in a gateway with a scripted scheduler: it executes every kind of scheduler
 * command, reports every outcome of an attempt, and survives exceptions of the scheduler.
 */
class ControllerTest {
    private static final String ENDPOINT = "seat-charge";
    private static final SchedulerTimer TIMER = new EndpointResubscription();
    private static final long TIMER_DELAY_MICROS = 1_000;
    private static final int PEER = 1;

    /** First four bytes of a gossip packet; they spell {@code wtr1} in ASCII. */
    private static final int GOSSIP_MAGIC = 0x77747231;

    /** Bytes of a gossip packet before its message: the magic and the sender's number. */
    private static final int GOSSIP_HEADER_BYTES = 8;

    /** Time after the forwarding of an attempt until the attempt is cancelled or times out. */
    private static final long ATTEMPT_MICROS = 50_000;

    private interface ScriptedDecision {
        void decide(SchedulerEvent event, Sink commands);
    }

    private final List<SchedulerEvent> events = Collections.synchronizedList(new ArrayList<>());

    private Controller.SchedulerFactory scriptedScheduler(ScriptedDecision decision) {
        return (settings, seed) ->
                (now, event, commands) -> {
                    events.add(event);
                    decision.decide(event, commands);
                };
    }

    private <T extends SchedulerEvent> List<T> eventsOfType(Class<T> type) {
        synchronized (events) {
            return events.stream().filter(type::isInstance).map(type::cast).toList();
        }
    }

    private static HttpResponse<String> send(
            GatewayFixture fixture, String webhookId, String function) throws Exception {
        return fixture.client.send(
                fixture.signedRequest(
                                ENDPOINT,
                                webhookId,
                                fixture.validTimestampSeconds(),
                                GatewayFixture.requestBody(function))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void everyKindOfSchedulerCommandIsExecuted() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            String invoker = fixture.invokerAddresses.get(0);
            fixture.script = ControllerTest::respondToOperation;
            fixture.start(
                    fixture.settingsText(false),
                    scriptedScheduler(
                            (event, commands) -> {
                                if (event instanceof RequestReceived request) {
                                    addAllCommands(commands, request.id(), invoker);
                                }
                            }));
            assertEquals("ran", fixture.sendAndWait(ENDPOINT, "m").body());
            GatewayFixture.waitUntil(
                    this::allOperationsCompleted,
                    "two preloads, a health check, a timer and two endpoint lists completed");
            GatewayFixture.waitUntil(
                    () ->
                            fixture.receivedRequests.stream()
                                    .anyMatch(request -> request.path().endsWith("/unload")),
                    "an unload request at the invoker");
            assertOperationResults();
            assertRequestEvents();
        }
    }

    /** Guards against timers that wait for the deadlines of requests that ended long before. */
    @Test
    void aRequestHasOneTimerOfEachKindAndNoneOnceItHasEnded() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.start(
                    fixture.settingsText(false),
                    scriptedScheduler(
                            (event, commands) -> {
                                if (event instanceof RequestReceived request) {
                                    setTimers(commands, request.id());
                                    if (request.function().equals("ended")) {
                                        commands.add(new FailRequest(request.id()));
                                    }
                                } else if (event instanceof TimerExpired expired
                                        && expired.timer() instanceof RequestDeadline deadline) {
                                    commands.add(new FailRequest(deadline.requestId()));
                                }
                            }));
            send(fixture, "ended", "ended");
            GatewayFixture.waitUntil(
                    () -> eventsOfType(TimerExpired.class).size() == 1, "the last timer");
            assertEquals(TIMER, eventsOfType(TimerExpired.class).get(0).timer());
            events.clear();
            send(fixture, "open", "open");
            GatewayFixture.waitUntil(
                    () -> eventsOfType(TimerExpired.class).size() == 3, "the last timers");
            assertEquals(
                    List.of(QueuedRequestRetry.class, RequestDeadline.class, TIMER.getClass()),
                    eventsOfType(TimerExpired.class).stream()
                            .map(expired -> expired.timer().getClass())
                            .toList());
        }
    }

    /** Sets two retry timers, then the deadline's, then one that belongs to no request. */
    private static void setTimers(Sink commands, long requestId) {
        commands.add(new SetTimer(TIMER_DELAY_MICROS, new QueuedRequestRetry(requestId)));
        commands.add(new SetTimer(2 * TIMER_DELAY_MICROS, new QueuedRequestRetry(requestId)));
        commands.add(new SetTimer(3 * TIMER_DELAY_MICROS, new RequestDeadline(requestId)));
        commands.add(new SetTimer(4 * TIMER_DELAY_MICROS, TIMER));
    }

    private static void respondToOperation(GatewayFixture.ReceivedRequest request) {
        switch (request.path()) {
            case "/v2/repository/index" ->
                    request.exchange()
                            .answer(
                                    200,
                                    "application/json",
                                    "[{\"name\":\"f\",\"state\":\"READY\",\"copies\":2}]"
                                            .getBytes(StandardCharsets.UTF_8));
            case "/v2/repository/models/f/load" -> respondWithMetric(request, "copies=3");
            case "/v2/health/ready" -> respondWithMetric(request, "queue=9");
            case "/v2/repository/models/f/unload" -> request.respondWithStatus(200);
            default -> request.respondWithOutput("ran");
        }
    }

    private static void respondWithMetric(GatewayFixture.ReceivedRequest request, String metric) {
        request.exchange()
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
        return eventsOfType(PreloadCompleted.class).size() == 2
                && eventsOfType(HealthCheckCompleted.class).size() == 1
                && eventsOfType(TimerExpired.class).size() == 1
                && eventsOfType(EndpointsUpdated.class).size() == 2;
    }

    private void assertOperationResults() {
        List<Integer> instances =
                eventsOfType(PreloadCompleted.class).stream()
                        .map(PreloadCompleted::instances)
                        .sorted(Comparator.reverseOrder())
                        .toList();
        assertEquals(List.of(3, 2), instances);
        assertEquals(
                Map.of("queue", 9.0), eventsOfType(HealthCheckCompleted.class).get(0).loadReport());
        assertEquals(TIMER, eventsOfType(TimerExpired.class).get(0).timer());
        assertTrue(
                eventsOfType(EndpointsUpdated.class).get(1).snapshot(),
                "the fetched endpoint list is a snapshot");
    }

    private void assertRequestEvents() {
        AttemptCompleted attempt = eventsOfType(AttemptCompleted.class).get(0);
        assertEquals(SchedulerEvent.CONCURRENCY_NOT_REPORTED, attempt.concurrentRequests());
        assertEquals(StartKind.WARM, attempt.start());
        assertTrue(attempt.isFinal());
        assertEquals(0, eventsOfType(RequestReceived.class).get(0).tenant());
    }

    @Test
    void gossipIsExchangedWithPeersAndDroppedFromUnknownSenders() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1);
                DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket unknownSender =
                        new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            peer.setSoTimeout(5_000);
            String invoker = fixture.invokerAddresses.get(0);
            int gossipPort = freePort();
            byte[] sentMessage = {5, 6};
            byte[] replyMessage = {7, 8, 9};
            fixture.start(
                    fixture.settingsText(false) + peerSettings(gossipPort, peer.getLocalPort()),
                    scriptedScheduler(
                            (event, commands) -> {
                                if (event instanceof RequestReceived request) {
                                    commands.add(
                                            new SendGossip(
                                                    SchedulerCommand.ALL_PEERS, sentMessage));
                                    commands.add(new ForwardAttempt(request.id(), invoker, 0));
                                }
                            }));
            assertEquals("done", fixture.sendAndWait(ENDPOINT, "m").body());
            DatagramPacket packet = new DatagramPacket(new byte[300], 300);
            peer.receive(packet);
            assertEquals(GOSSIP_HEADER_BYTES + sentMessage.length, packet.getLength());
            DatagramPacket reply = gossipPacket(replyMessage, gossipPort);
            unknownSender.send(reply);
            peer.send(reply);
            GatewayFixture.waitUntil(
                    () -> !eventsOfType(GossipReceived.class).isEmpty(),
                    "a gossip message from the peer");
            assertArrayEquals(replyMessage, eventsOfType(GossipReceived.class).get(0).message());
            assertEquals(
                    1,
                    eventsOfType(GossipReceived.class).size(),
                    "a message from an unknown sender is dropped");
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

    /**
     * An outcome of an attempt, with the response code that the scheduler gets and the status that
     * the client gets. The request's function is named after the outcome that it shall have.
     */
    private enum AttemptOutcome {
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

        AttemptOutcome(ResponseCode code, int clientStatus) {
            this.code = code;
            this.clientStatus = clientStatus;
        }

        /** Returns whether the client gets the function's response instead of a problem detail. */
        private boolean isFunctionResponse() {
            return this == SERVED || this == FUNCTION_ERROR;
        }
    }

    @Test
    void everyAttemptOutcomeReachesTheSchedulerWithItsResponseCode() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            String invoker = fixture.invokerAddresses.get(0);
            Map<Long, AttemptOutcome> outcomes = Collections.synchronizedMap(new HashMap<>());
            Map<AttemptOutcome, ResponseCode> codes = Collections.synchronizedMap(new HashMap<>());
            fixture.script = ControllerTest::respondForOutcome;
            fixture.start(
                    fixture.settingsText(false),
                    scriptedScheduler(
                            (event, commands) -> {
                                if (event instanceof RequestReceived request) {
                                    AttemptOutcome outcome =
                                            AttemptOutcome.valueOf(request.function());
                                    outcomes.put(request.id(), outcome);
                                    forward(commands, request.id(), outcome, invoker);
                                } else if (event instanceof TimerExpired expired
                                        && expired.timer() instanceof RequestDeadline deadline) {
                                    commands.add(new CancelAttempt(deadline.requestId(), 0));
                                } else if (event instanceof AttemptCompleted attempt) {
                                    codes.put(outcomes.get(attempt.id()), attempt.code());
                                    failUnlessFinal(commands, attempt);
                                }
                            }));
            Map<AttemptOutcome, ResponseCode> expectedCodes = new HashMap<>();
            for (AttemptOutcome outcome : AttemptOutcome.values()) {
                expectedCodes.put(outcome, outcome.code);
                assertResponse(outcome, send(fixture, outcome.name(), outcome.name()));
            }
            assertEquals(expectedCodes, codes);
        }
    }

    private static void respondForOutcome(GatewayFixture.ReceivedRequest request) {
        switch (AttemptOutcome.valueOf(
                request.inferenceId().substring(request.inferenceId().indexOf(' ') + 1))) {
            case SERVED -> request.respondWithOutput("fine");
            case FULL -> request.respondWithStatus(503);
            case BUSY -> request.respondWithStatus(429);
            case NOT_LOADED -> request.respondWithStatus(404);
            case FUNCTION_ERROR -> request.respondWithStatus(500);
            case MALFORMED ->
                    request.exchange()
                            .answer(
                                    200,
                                    "application/json",
                                    "{\"outputs\"".getBytes(StandardCharsets.UTF_8));
            case CONNECTION_RESET -> request.exchange().reset();
            default -> {
                // CANCELLED and SILENT get no response; EXPIRED and UNREACHABLE do not reach the
                // invoker.
            }
        }
    }

    private static void forward(
            Sink commands, long requestId, AttemptOutcome outcome, String invoker) {
        long now = Loop.nowMicros();
        switch (outcome) {
            case UNREACHABLE -> commands.add(new ForwardAttempt(requestId, "127.0.0.1:1", 0));
            case SILENT ->
                    commands.add(new ForwardAttempt(requestId, invoker, now + ATTEMPT_MICROS));
            case EXPIRED -> commands.add(new ForwardAttempt(requestId, invoker, 1));
            default -> commands.add(new ForwardAttempt(requestId, invoker, 0));
        }
        if (outcome == AttemptOutcome.CANCELLED) {
            commands.add(new SetTimer(ATTEMPT_MICROS, new RequestDeadline(requestId)));
        }
    }

    private static void failUnlessFinal(Sink commands, AttemptCompleted attempt) {
        if (!attempt.isFinal()) {
            commands.add(new FailRequest(attempt.id()));
        }
    }

    private static void assertResponse(AttemptOutcome outcome, HttpResponse<String> response) {
        String description = outcome + response.body();
        assertEquals(outcome.clientStatus, response.statusCode(), description);
        boolean provenNotRun = PendingRequests.provesNotRun(outcome.code);
        assertTrue(
                outcome.isFunctionResponse()
                        || response.body().contains("\"harmless\":" + provenNotRun),
                description);
        if (outcome == AttemptOutcome.FUNCTION_ERROR) {
            assertEquals("{\"error\":\"x\"}", response.body());
            assertEquals(
                    "false",
                    response.headers().firstValue("waytrestle-harmless").orElse(""),
                    description);
        }
    }

    @Test
    void schedulerExceptionFailsOnlyItsRequestAndThreeStopTheProcessWhenTwoAreAllowed()
            throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            String invoker = fixture.invokerAddresses.get(0);
            fixture.start(
                    fixture.settingsText(false).replace("most = 10", "most = 2"),
                    scriptedScheduler(
                            (event, commands) -> {
                                if (event instanceof RequestReceived request) {
                                    if (request.function().equals("bad")) {
                                        throw new IllegalStateException("scripted");
                                    }
                                    commands.add(new ForwardAttempt(request.id(), invoker, 0));
                                }
                            }));
            for (int i = 0; i < 3; i++) {
                assertEquals(200, fixture.sendAndWait(ENDPOINT, "good" + i).statusCode());
                HttpResponse<String> response = send(fixture, "bad" + i, "bad");
                assertEquals(500, response.statusCode());
                assertTrue(
                        response.body().contains("\"harmless\":true"),
                        "a request that was never forwarded is harmless: " + response.body());
            }
            assertEquals(
                    3,
                    fixture.gateway.join(10_000),
                    "the third failure exceeds the two allowed and stops the process with code 3");
        }
    }

    /** The controller's pending requests time out even where the scheduler gives no command. */
    @Test
    void requestWithoutSchedulerCommandFailsWith504AtItsDeadline() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.start(
                    fixture.settingsText(false)
                            .replace(
                                    "deadline_ms = 5000\nworth = 2",
                                    "deadline_ms = 1300\nworth = 2"),
                    scriptedScheduler((event, commands) -> {}));
            assertEquals(504, fixture.sendAndWait(ENDPOINT, "m").statusCode());
            // The controller's thread writes the response before it tells the scheduler.
            GatewayFixture.waitUntil(
                    () -> !eventsOfType(RequestAbandoned.class).isEmpty(),
                    "the scheduler is told that the request was abandoned");
            assertEquals(1, eventsOfType(RequestAbandoned.class).size());
        }
    }
}
