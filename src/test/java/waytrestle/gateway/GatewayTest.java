package waytrestle.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import waytrestle.front.webhook.Signatures;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;
import waytrestle.scheduler.FinishTimeScheduler;

/**
 * Tests webhook requests through a whole gateway over sockets, with faults of clients, of invokers,
 * of the health API and of the wall clock.
 */
class GatewayTest {
    private static String header(HttpResponse<String> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }

    @Test
    void signedRequestIsExecutedAndItsOutputIsReturned() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(2).start()) {
            HttpResponse<String> response = fixture.sendAndWait("seat-check", "m1");
            assertEquals(200, response.statusCode());
            assertEquals("done", response.body());
            assertEquals("text/plain", header(response, "content-type"));
            assertEquals(1, fixture.inferRequests().size());
            assertEquals(
                    GatewayFixture.requestBody("f"),
                    new String(fixture.inferRequests().get(0).payload()));
            assertEquals("/v2/models/f/infer", fixture.inferRequests().get(0).path());
            String metrics = fixture.fetchAdminPage("/metrics").body();
            assertTrue(
                    metrics.contains(
                            "waytrestle_calls_total{class=\"seat-check\",end=\"served\"} 1"),
                    metrics);
            assertTrue(metrics.contains("waytrestle_attempts_total{code=\"OK\"} 1"));
            assertEquals(404, fixture.fetchAdminPage("/other").statusCode());
        }
    }

    @Test
    void invalidRequestsAreRefusedWithTheirStatusAndProblemTypeAndNotForwarded() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.start(
                    fixture.settingsText(false).replace("accept = true", "accept = false"),
                    FinishTimeScheduler::new);
            long timestampSeconds = fixture.validTimestampSeconds();
            String body = GatewayFixture.requestBody("charge");
            Map<HttpRequest, String> cases =
                    Map.of(
                            fixture.signedRequest("none", "a", timestampSeconds, body).build(),
                            "404",
                            fixture.signedRequest("seat-check", "a", timestampSeconds, body)
                                    .GET()
                                    .build(),
                            "405",
                            fixture.signedRequest("seat-check", "a", timestampSeconds, body)
                                    .setHeader("webhook-id", " ")
                                    .build(),
                            "400 unsigned",
                            fixture.signedRequest("seat-check", "a", timestampSeconds, body)
                                    .setHeader("webhook-timestamp", "soon")
                                    .build(),
                            "400 unsigned",
                            fixture.signedRequest("seat-check", "a", timestampSeconds - 400, body)
                                    .build(),
                            "401 timestamp",
                            fixture.signedRequest("seat-check", "a", timestampSeconds + 400, body)
                                    .build(),
                            "401 timestamp",
                            fixture.signedRequest("seat-check", "a", timestampSeconds, body)
                                    .setHeader("webhook-id", "b")
                                    .build(),
                            "401 signature",
                            fixture.signedRequest("seat-check", "a", timestampSeconds, "{}")
                                    .build(),
                            "400 function",
                            fixture.signedRequest(
                                            "seat-check",
                                            "a",
                                            timestampSeconds,
                                            GatewayFixture.requestBody("../x"))
                                    .build(),
                            "400 function",
                            fixture.signedRequest(
                                            "seat-check",
                                            "a",
                                            timestampSeconds,
                                            GatewayFixture.requestBody("other"))
                                    .build(),
                            "404 unknown-function");
            for (Map.Entry<HttpRequest, String> refusedCase : cases.entrySet()) {
                HttpResponse<String> response =
                        fixture.client.send(
                                refusedCase.getKey(), HttpResponse.BodyHandlers.ofString());
                String[] statusAndProblem = refusedCase.getValue().split(" ");
                assertEquals(
                        statusAndProblem[0],
                        Integer.toString(response.statusCode()),
                        refusedCase.getKey().uri() + response.body());
                assertTrue(
                        statusAndProblem.length == 1
                                || response.body().contains("problem:" + statusAndProblem[1]),
                        response.body());
                assertEquals("application/problem+json", header(response, "content-type"));
            }
            assertEquals(List.of(), fixture.inferRequests());
        }
    }

    @Test
    void repeatsDuringAndAfterARequestGetItsOutcomeWithoutASecondAttempt() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(2).start()) {
            List<GatewayFixture.ReceivedRequest> heldRequests = new ArrayList<>();
            fixture.script = heldRequests::add;
            HttpRequest request =
                    fixture.signedRequest(
                                    "seat-charge",
                                    "m1",
                                    fixture.validTimestampSeconds(),
                                    GatewayFixture.requestBody("f"))
                            .build();
            List<CompletableFuture<HttpResponse<String>>> pendingResponses = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                pendingResponses.add(
                        fixture.client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
            }
            GatewayFixture.waitUntil(
                    () -> fixture.inferRequests().size() == 1, "one attempt at the invoker");
            GatewayFixture.waitUntil(
                    () -> metricValue(fixture, "waytrestle_connections") >= 5,
                    "five client connections");
            fixture.eventLoop.execute(() -> heldRequests.get(0).respondWithOutput("once"));
            for (CompletableFuture<HttpResponse<String>> pending : pendingResponses) {
                assertEquals("once", pending.get().body());
            }
            assertEquals(
                    "once",
                    fixture.client.send(request, HttpResponse.BodyHandlers.ofString()).body());
            assertEquals(1, fixture.inferRequests().size(), "repeats cause no second attempt");
            HttpResponse<String> otherBodyResponse =
                    fixture.client.send(
                            fixture.signedRequest(
                                            "seat-charge",
                                            "m1",
                                            fixture.validTimestampSeconds(),
                                            GatewayFixture.requestBody("g"))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            assertEquals(422, otherBodyResponse.statusCode());
        }
    }

    /** Returns the value of a metric without labels; -1 where the gateway does not export it. */
    private static double metricValue(GatewayFixture fixture, String name) {
        try {
            return fixture.fetchAdminPage("/metrics")
                    .body()
                    .lines()
                    .filter(line -> line.startsWith(name + " "))
                    .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                    .findFirst()
                    .orElse(-1);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void requestSignedBeforeARestartIsRefusedWith409IfUnsafeAndExecutedAgainIfSafe()
            throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(2)) {
            AtomicLong wallClock = new AtomicLong(System.currentTimeMillis());
            fixture.wallClockMillis = wallClock::get;
            fixture.start();
            HttpRequest.Builder[] signedRequests = {
                fixture.signedRequest(
                        "seat-charge",
                        "m",
                        fixture.validTimestampSeconds(),
                        GatewayFixture.requestBody("f")),
                fixture.signedRequest(
                        "seat-check",
                        "m",
                        fixture.validTimestampSeconds(),
                        GatewayFixture.requestBody("f"))
            };
            for (HttpRequest.Builder request : signedRequests) {
                assertEquals(
                        200,
                        fixture.client
                                .send(request.build(), HttpResponse.BodyHandlers.ofString())
                                .statusCode());
            }
            String oldPort = ":" + fixture.gateway.port() + "/";
            fixture.gateway.kill();
            fixture.gateway.join(5_000);
            wallClock.addAndGet(10_000);
            fixture.start();
            int[] expectedStatuses = {409, 200};
            for (int i = 0; i < 2; i++) {
                HttpRequest repeat =
                        signedRequests[i]
                                .uri(
                                        URI.create(
                                                signedRequests[i]
                                                        .build()
                                                        .uri()
                                                        .toString()
                                                        .replace(
                                                                oldPort,
                                                                ":"
                                                                        + fixture.gateway.port()
                                                                        + "/")))
                                .build();
                HttpResponse<String> response =
                        fixture.client.send(repeat, HttpResponse.BodyHandlers.ofString());
                assertEquals(expectedStatuses[i], response.statusCode(), response.body());
            }
            assertEquals(3, fixture.inferRequests().size());
            assertEquals(
                    200,
                    fixture.sendAndWait("seat-charge", "later").statusCode(),
                    "a request signed after the restart is executed");
        }
    }

    @Test
    void drainingInvokerGetsNoRequestsAfterTheGraceAndAllRequestsAreServed() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(3).startRoster().start()) {
            AtomicLong drainedAtMicros = new AtomicLong(Long.MAX_VALUE);
            AtomicInteger served = new AtomicInteger();
            fixture.script =
                    received -> {
                        if (received.path().endsWith("/infer")) {
                            fixture.eventLoop.after(
                                    20_000, () -> received.respondWithOutput("done"));
                        } else {
                            received.respondWithStatus(200);
                        }
                    };
            String drainingInvoker = fixture.invokerAddresses.get(0);
            int requestCount = 1_000;
            long startedAtMicros = Loop.nowMicros();
            List<CompletableFuture<HttpResponse<String>>> pendingResponses = new ArrayList<>();
            for (int i = 0; i < requestCount; i++) { // 500 requests a second
                while (Loop.nowMicros() < startedAtMicros + i * 2_000L) {
                    Thread.sleep(1);
                }
                if (i == 300) {
                    fixture.eventLoop.execute(() -> drainedAtMicros.set(Loop.nowMicros()));
                    fixture.setInvokerState(drainingInvoker, "critical");
                }
                pendingResponses.add(
                        fixture.client.sendAsync(
                                fixture.signedRequest(
                                                "seat-check",
                                                "m" + i,
                                                fixture.validTimestampSeconds(),
                                                GatewayFixture.requestBody("f" + i % 7))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString()));
            }
            for (CompletableFuture<HttpResponse<String>> pending : pendingResponses) {
                served.addAndGet(pending.get().statusCode() == 200 ? 1 : 0);
            }
            assertEquals(requestCount, served.get());
            long lateRequests =
                    fixture.receivedRequests.stream()
                            .filter(
                                    received ->
                                            received.invokerAddress().equals(drainingInvoker)
                                                    && received.receivedAtMicros()
                                                            > drainedAtMicros.get() + 1_000_000)
                            .count();
            assertEquals(
                    0,
                    lateRequests,
                    "requests and preloads later than 1 s: a drain grace of 0.5 s and 0.5 s for a"
                            + " stalling machine");
            assertTrue(
                    fixture.receivedRequests.stream()
                            .anyMatch(
                                    received -> received.invokerAddress().equals(drainingInvoker)),
                    "the draining invoker had requests before");
        }
    }

    @Test
    void resetAttemptIsRetriedForSafeAndKeyedRequestsButNotForUnsafeOnes() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(6).start()) {
            fixture.script =
                    received -> {
                        if (received.attemptNumber() == 0) {
                            received.exchange().reset();
                        } else {
                            received.respondWithOutput("second");
                        }
                    };
            HttpResponse<String> safeResponse = fixture.sendAndWait("seat-check", "safe");
            assertEquals("second", safeResponse.body());
            assertEquals(200, fixture.sendAndWait("order-change", "keyed").statusCode());
            List<GatewayFixture.ReceivedRequest> keyedRequests =
                    fixture.inferRequests().stream()
                            .filter(received -> received.inferenceId().endsWith(" keyed"))
                            .toList();
            assertEquals(2, keyedRequests.size());
            assertEquals(
                    fixture.invokerAddresses.indexOf(keyedRequests.get(0).invokerAddress()) % 2,
                    fixture.invokerAddresses.indexOf(keyedRequests.get(1).invokerAddress()) % 2,
                    "the retry goes to an invoker of the same deduplication group, a cell");
            HttpResponse<String> unsafeResponse = fixture.sendAndWait("seat-charge", "unsafe");
            assertEquals(502, unsafeResponse.statusCode());
            assertTrue(unsafeResponse.body().contains("\"harmless\":false"), unsafeResponse.body());
            assertEquals(
                    unsafeResponse.body(),
                    fixture.sendAndWait("seat-charge", "unsafe").body(),
                    "the repeat gets the same outcome");
            assertEquals(
                    1,
                    fixture.inferRequests().stream()
                            .filter(received -> received.inferenceId().endsWith(" unsafe"))
                            .count());
        }
    }

    @Test
    void unsafeRequestsAreServedByAnotherInvokerWhenTheConnectionIsRefused() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(3)) {
            fixture.eventLoop.execute(
                    () -> fixture.invokerServers.subList(0, 2).forEach(ServerKiller::kill));
            Thread.sleep(50);
            fixture.start();
            for (int i = 0; i < 5; i++) {
                assertEquals(200, fixture.sendAndWait("seat-charge", "m" + i).statusCode());
            }
            assertEquals(5, fixture.inferRequests().size());
        }
    }

    private static final class ServerKiller {
        static void kill(HttpServer server) {
            server.kill();
        }
    }

    @Test
    void unsafeRequestIsRetriedAfterAFullInvokerAnswers503() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(3).start()) {
            AtomicInteger receivedCount = new AtomicInteger();
            fixture.script =
                    received -> {
                        if (receivedCount.getAndIncrement() == 0) {
                            received.respondWithStatus(503);
                        } else {
                            received.respondWithOutput("moved");
                        }
                    };
            assertEquals("moved", fixture.sendAndWait("seat-charge", "m").body());
            assertEquals(2, fixture.inferRequests().size());
        }
    }

    @Test
    void clientDisconnectCancelsTheAttemptAndARepeatIsANewRequest() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1).start()) {
            AtomicBoolean attemptCancelled = new AtomicBoolean();
            fixture.script =
                    received ->
                            received.exchange()
                                    .onClientDisconnect(() -> attemptCancelled.set(true));
            String body = GatewayFixture.requestBody("f");
            String timestampSeconds = Long.toString(fixture.validTimestampSeconds());
            try (Socket socket = new Socket("127.0.0.1", fixture.gateway.port())) {
                socket.getOutputStream()
                        .write(
                                ("POST /hooks/seat-check HTTP/1.1\r\nHost: x\r\nwebhook-id: m\r\n"
                                                + "webhook-timestamp: "
                                                + timestampSeconds
                                                + "\r\nwebhook-signature: "
                                                + Signatures.sign(
                                                        GatewayFixture.WEBHOOK_SECRET,
                                                        "m",
                                                        timestampSeconds,
                                                        body.getBytes())
                                                + "\r\nContent-Length: "
                                                + body.length()
                                                + "\r\n\r\n"
                                                + body)
                                        .getBytes());
                GatewayFixture.waitUntil(
                        () -> fixture.inferRequests().size() == 1, "one attempt at the invoker");
            }
            GatewayFixture.waitUntil(
                    attemptCancelled::get, "the attempt is cancelled at the invoker");
            GatewayFixture.waitUntil(
                    () -> metricValue(fixture, "waytrestle_open_calls") == 0,
                    "no request in flight");
            fixture.script = received -> received.respondWithOutput("new");
            assertEquals(
                    "new",
                    fixture.sendAndWait("seat-check", "m").body(),
                    "the repeat of an abandoned safe request is a new request");
        }
    }

    @Test
    void stopAnswersEveryRequestInFlightWithinItsGracePeriod() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(2)) {
            fixture.start(
                    fixture.settingsText(false).replace("grace_ms = 10000", "grace_ms = 3000"),
                    FinishTimeScheduler::new);
            fixture.script =
                    received -> {
                        if (received.inferenceId().endsWith("quick")) {
                            fixture.eventLoop.after(
                                    200_000, () -> received.respondWithOutput("done"));
                        }
                    };
            CompletableFuture<HttpResponse<String>> quickResponse =
                    fixture.sendRequest("seat-check", "quick");
            CompletableFuture<HttpResponse<String>> stuckSafeResponse =
                    fixture.sendRequest("seat-check", "stuck");
            CompletableFuture<HttpResponse<String>> stuckUnsafeResponse =
                    fixture.sendRequest("seat-charge", "stuck");
            GatewayFixture.waitUntil(
                    () -> fixture.inferRequests().size() == 3, "three attempts at the invokers");
            fixture.gateway.stop();
            assertEquals(200, quickResponse.get().statusCode());
            assertEquals(503, stuckSafeResponse.get().statusCode());
            assertTrue(
                    stuckSafeResponse.get().body().contains("stopping"),
                    stuckSafeResponse.get().body());
            assertEquals(
                    502,
                    stuckUnsafeResponse.get().statusCode(),
                    "an unsafe request that may have run is not answered 503");
            assertEquals(0, fixture.gateway.join(5_000));
            assertThrows(
                    ExecutionException.class,
                    () -> fixture.sendRequest("seat-check", "late").get());
        }
    }

    @Test
    void emptyEndpointListRejectsRequestsWith503UntilInvokersReturn() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(2).startRoster().start()) {
            assertEquals(200, fixture.sendAndWait("seat-charge", "before").statusCode());
            fixture.eventLoop.execute(fixture.roster::clear);
            GatewayFixture.waitUntil(
                    () -> metricValue(fixture, "waytrestle_invokers_ready") == 0,
                    "an empty endpoint list");
            HttpResponse<String> response =
                    fixture.client.send(
                            fixture.signedRequest(
                                            "seat-charge",
                                            "none",
                                            fixture.validTimestampSeconds(),
                                            GatewayFixture.requestBody("f"))
                                    .header("Prefer", "respond-async, wait=1")
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            assertEquals(503, response.statusCode());
            assertTrue(
                    response.body().contains("\"harmless\":true")
                            && !header(response, "retry-after").isEmpty(),
                    response.body());
            assertEquals(503, fixture.fetchAdminPage("/health/ready").statusCode());
            fixture.invokerAddresses.forEach(
                    invoker -> fixture.setInvokerState(invoker, "passing"));
            GatewayFixture.waitUntil(
                    () -> metricValue(fixture, "waytrestle_invokers_ready") == 2,
                    "two ready invokers");
            assertEquals(
                    200,
                    fixture.sendAndWait("seat-charge", "none").statusCode(),
                    "the repeat of a rejected request is a new request");
        }
    }

    @Test
    void healthApiErrorKeepsTheLastEndpointListAndARestartUpdatesIt() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(2).startRoster().start()) {
            fixture.eventLoop.execute(() -> fixture.roster.err(true));
            fixture.setInvokerState(fixture.invokerAddresses.get(0), "critical");
            Thread.sleep(300);
            assertEquals(2, metricValue(fixture, "waytrestle_invokers_ready"));
            assertEquals(200, fixture.sendAndWait("seat-check", "a").statusCode());
            fixture.eventLoop.execute(
                    () -> {
                        fixture.roster.err(false);
                        fixture.roster.restart();
                    });
            GatewayFixture.waitUntil(
                    () -> metricValue(fixture, "waytrestle_invokers_ready") == 1,
                    "one ready invoker after the restart of the health API");
        }
    }

    @Test
    void wallClockStepsOfOneAndTwoHoursLoseNoRequestAndRunNoneTwice() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(2)) {
            AtomicLong wallClock = new AtomicLong(System.currentTimeMillis());
            fixture.wallClockMillis = wallClock::get;
            fixture.start();
            List<GatewayFixture.ReceivedRequest> heldRequests = new ArrayList<>();
            fixture.script = heldRequests::add;
            HttpRequest openRequest =
                    fixture.signedRequest(
                                    "seat-charge",
                                    "open",
                                    fixture.validTimestampSeconds(),
                                    GatewayFixture.requestBody("f"))
                            .build();
            CompletableFuture<HttpResponse<String>> openResponse =
                    fixture.client.sendAsync(openRequest, HttpResponse.BodyHandlers.ofString());
            GatewayFixture.waitUntil(() -> heldRequests.size() == 1, "one attempt at the invoker");
            for (long stepMillis : new long[] {3_600_000, -7_200_000, 3_600_000}) {
                wallClock.addAndGet(stepMillis);
                fixture.script = received -> received.respondWithOutput("stepped");
                assertEquals(
                        200, fixture.sendAndWait("seat-check", "safe" + stepMillis).statusCode());
            }
            fixture.eventLoop.execute(() -> heldRequests.get(0).respondWithOutput("once"));
            assertEquals("once", openResponse.get().body());
            assertEquals(
                    "once",
                    fixture.client.send(openRequest, HttpResponse.BodyHandlers.ofString()).body());
            assertEquals(
                    1,
                    fixture.inferRequests().stream()
                            .filter(received -> received.inferenceId().endsWith(" open"))
                            .count());
        }
    }

    @Test
    void requestBeyondMaxOpenReturns429AsHarmlessAndIsServedLater() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.start(
                    fixture.settingsText(false).replace("max_open = 20000", "max_open = 2"),
                    FinishTimeScheduler::new);
            List<GatewayFixture.ReceivedRequest> heldRequests = new ArrayList<>();
            fixture.script = heldRequests::add;
            List<CompletableFuture<HttpResponse<String>>> firstTwo =
                    List.of(
                            fixture.sendRequest("seat-charge", "a"),
                            fixture.sendRequest("seat-charge", "b"));
            GatewayFixture.waitUntil(() -> heldRequests.size() == 2, "two attempts at the invoker");
            HttpResponse<String> response = fixture.sendAndWait("seat-charge", "c");
            assertEquals(429, response.statusCode());
            assertTrue(response.body().contains("\"harmless\":true"));
            fixture.script = received -> received.respondWithOutput("x");
            fixture.eventLoop.execute(
                    () -> heldRequests.forEach(received -> received.respondWithOutput("x")));
            for (CompletableFuture<HttpResponse<String>> pending : firstTwo) {
                assertEquals(200, pending.get().statusCode());
            }
            assertEquals(200, fixture.sendAndWait("seat-charge", "c").statusCode());
            assertFalse(fixture.inferRequests().isEmpty());
        }
    }
}
