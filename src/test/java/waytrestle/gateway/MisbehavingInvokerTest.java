package waytrestle.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import waytrestle.access.AccessLine;
import waytrestle.config.ConfigException;
import waytrestle.config.GatewayConfig;
import waytrestle.config.TomlFile;
import waytrestle.scheduler.FinishTimeScheduler;
import waytrestle.standin.OddInvoker;

/**
 * Tests a gateway with invokers that share no HTTP code with it and misbehave in scripted ways:
 * which outcome the client gets, how many attempts are made, and that other requests are
 * unaffected.
 */
class MisbehavingInvokerTest {
    private final List<OddInvoker> invokers = new ArrayList<>();
    private GatewayFixture fixture;
    private int nextWebhookId;

    @BeforeEach
    void startThreeInvokers() throws Exception {
        for (int i = 0; i < 3; i++) {
            invokers.add(new OddInvoker(2));
        }
        fixture = new GatewayFixture(invokers.stream().map(OddInvoker::address).toList());
    }

    @AfterEach
    void closeInvokers() throws Exception {
        fixture.close();
        for (OddInvoker invoker : invokers) {
            invoker.close();
        }
    }

    private int countAttempts(String function) {
        return invokers.stream().mapToInt(invoker -> invoker.attempts(function)).sum();
    }

    private CompletableFuture<HttpResponse<String>> send(String endpoint, String function) {
        return fixture.client.sendAsync(
                fixture.signedRequest(
                                endpoint,
                                "m" + nextWebhookId++,
                                fixture.validTimestampSeconds(),
                                GatewayFixture.requestBody(function))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> sendAndWait(String endpoint, String function) throws Exception {
        return send(endpoint, function).get();
    }

    private static String header(HttpResponse<String> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }

    private String startWithReplacement(String target, String replacement) throws Exception {
        String text = fixture.settingsText(false).replace(target, replacement);
        fixture.start(text, FinishTimeScheduler::new);
        return text;
    }

    /**
     * Invokers respond with each status from 100 to 103 and from 200 to 599, the even ones with a
     * body.
     */
    @Test
    void everyInvokerStatusMapsToItsClientStatusWithinTwoAttempts() throws Exception {
        startWithReplacement(
                "retries_per_s = 10 ",
                "retries_per_s = 100000 "); // most statuses cause a retry, beyond the usual budget
        Map<Integer, CompletableFuture<HttpResponse<String>>> pendingByStatus = new TreeMap<>();
        for (int status = 100; status < 600; status = status == 103 ? 200 : status + 1) {
            String function = "s" + status + (status % 2 == 0 ? "" : "e");
            HttpRequest.Builder request =
                    fixture.signedRequest(
                            "seat-check",
                            "s" + status,
                            fixture.validTimestampSeconds(),
                            GatewayFixture.requestBody(function));
            pendingByStatus.put(
                    status,
                    fixture.client.sendAsync(
                            status < 200
                                    ? request.header("Prefer", "wait=1").build()
                                    : request.build(),
                            HttpResponse.BodyHandlers.ofString()));
            if (status % 50 == 0 && status > 100) {
                pendingByStatus.get(status).get();
            }
        }
        for (Map.Entry<Integer, CompletableFuture<HttpResponse<String>>> pending :
                pendingByStatus.entrySet()) {
            int status = pending.getKey();
            HttpResponse<String> response = pending.getValue().get();
            String description = status + " -> " + response.statusCode() + " " + response.body();
            int attempts = countAttempts("s" + status + (status % 2 == 0 ? "" : "e"));
            boolean isFull = status == 429 || status == 503;
            boolean isFunctionError =
                    status >= 400 && !List.of(404, 407, 408, 421, 425).contains(status) && !isFull;
            int expectedStatus =
                    status == 404
                            ? 404
                            : isFunctionError
                                    ? status
                                    : isFull ? 503 : status < 200 && status != 101 ? 504 : 502;
            assertEquals(expectedStatus, response.statusCode(), description);
            assertTrue(isFull || attempts <= 2, description + " after " + attempts);
            if (isFunctionError && status < 500 || status == 501) {
                assertEquals(1, attempts, description);
            }
            if (isFunctionError) {
                assertEquals(
                        status % 2 == 0 ? "{\"error\":\"bad shape\"}" : "function",
                        status % 2 == 0
                                ? response.body()
                                : response.body().replaceAll(".*problem:([a-z]+)\".*", "$1"),
                        description);
                assertEquals("", header(response, "retry-after"), description);
            }
        }
    }

    @Test
    void malformedResponsesAreRetriedOnceAndReportedAs502AndASlowResponseAs504() throws Exception {
        fixture.start();
        for (String function :
                List.of("html", "reset", "headers", "interim", "short", "huge", "deep", "chunks")) {
            HttpResponse<String> response = sendAndWait("seat-check", function);
            assertEquals(502, response.statusCode(), function + response.body());
            assertEquals(2, countAttempts(function), function);
            String lastOutcome =
                    function.equals("reset") || function.equals("short") ? "cut" : "unreadable";
            assertTrue(
                    response.body().contains("\"attempts\":2,\"last\":\"" + lastOutcome + "\""),
                    function + response.body());
        }
        HttpResponse<String> unsafeResponse = sendAndWait("seat-charge", "reset");
        assertEquals(502, unsafeResponse.statusCode());
        assertTrue(
                unsafeResponse.body().contains("\"harmless\":false")
                        && unsafeResponse.body().contains("problem:lost"),
                unsafeResponse.body());
        assertEquals(
                3,
                countAttempts("reset"),
                "an unsafe request that may have run is not retried: one attempt more than before");
        assertEquals(
                504,
                fixture.client
                        .send(
                                fixture.signedRequest(
                                                "seat-check",
                                                "slow",
                                                fixture.validTimestampSeconds(),
                                                GatewayFixture.requestBody("trickle"))
                                        .header("Prefer", "wait=1")
                                        .build(),
                                HttpResponse.BodyHandlers.ofString())
                        .statusCode());
    }

    @Test
    void failedUnsafeRequestIsNotRetriedAndItsFunctionErrorIsReturnedAgain() throws Exception {
        fixture.start();
        HttpResponse<String> response = sendAndWait("seat-charge", "s500");
        assertEquals(500, response.statusCode());
        assertEquals("{\"error\":\"bad shape\"}", response.body());
        assertEquals("false", header(response, "waytrestle-harmless"));
        assertEquals(1, countAttempts("s500"));
        HttpResponse<String> repeatResponse =
                fixture.client.send(
                        fixture.signedRequest(
                                        "seat-charge",
                                        "m0",
                                        fixture.validTimestampSeconds(),
                                        GatewayFixture.requestBody("s500"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        assertEquals(
                response.body(),
                repeatResponse.body(),
                "a repeat of the webhook id gets the same outcome");
        assertEquals(1, countAttempts("s500"));
    }

    @Test
    void secondResponseToOneRequestIsDiscarded() throws Exception {
        fixture.start();
        for (int i = 0; i < 20; i++) {
            assertEquals("first", sendAndWait("seat-check", "twice").body());
            assertEquals("ran", sendAndWait("seat-check", "f").body());
        }
        assertEquals(20, countAttempts("f"));
    }

    /** The caller must not get a part of a body as the whole one: it cannot tell. */
    @Test
    void responseWithMoreBytesThanItsLengthStatesIsNotServed() throws Exception {
        fixture.start();
        HttpResponse<String> idempotent = sendAndWait("seat-check", "cut");
        assertTrue(idempotent.statusCode() >= 500, idempotent.body());
        assertTrue(countAttempts("cut") > 1, "an idempotent request is sent again");
        int attemptsBefore = countAttempts("cut");
        HttpResponse<String> nonIdempotent = sendAndWait("seat-charge", "cut-2");
        assertTrue(nonIdempotent.statusCode() >= 500, nonIdempotent.body());
        assertTrue(nonIdempotent.body().contains("\"harmless\":false"), nonIdempotent.body());
        assertEquals(attemptsBefore + 1, countAttempts("cut"));
    }

    @Test
    void functionUnknownToAllInvokersReturns404WithinTwoAttemptsForBothMissAnswersSettings()
            throws Exception {
        for (String missAnswers : new String[] {"miss_answers = false", "miss_answers = true"}) {
            startWithReplacement("miss_answers = false", missAnswers);
            int attemptsBefore = countAttempts("s404");
            HttpResponse<String> response = sendAndWait("seat-check", "s404");
            assertEquals(404, response.statusCode(), response.body());
            assertTrue(response.body().contains("no-such-function"), response.body());
            assertEquals("", header(response, "retry-after"));
            assertTrue(
                    countAttempts("s404") - attemptsBefore <= 2,
                    missAnswers + " " + (countAttempts("s404") - attemptsBefore));
            fixture.gateway.kill();
            fixture.gateway.join(5_000);
        }
        fixture.gateway = null;
    }

    @Test
    void functionFailingAtAllInvokersOpensItsCircuitBreakerUntilItRecovers() throws Exception {
        invokers.forEach(invoker -> invoker.healsAt(Long.MAX_VALUE));
        fixture.start();
        int breakerResponses = 0;
        for (int i = 0; i < 40; i++) {
            HttpResponse<String> response = sendAndWait("seat-check", "heals");
            assertEquals(500, response.statusCode(), response.body());
            breakerResponses += response.body().contains("function-failing") ? 1 : 0;
            if (response.body().contains("function-failing")) {
                assertFalse(
                        response.body().contains("not well"),
                        "the breaker's response does not contain the function's response to another"
                                + " request");
                assertTrue(
                        header(response, "retry-after").matches("\\d+")
                                && response.body().contains("\"harmless\":true"),
                        response.body());
            }
            assertEquals(
                    "ran",
                    sendAndWait("seat-check", "f").body(),
                    "requests to other functions are served");
        }
        assertTrue(breakerResponses >= 20, breakerResponses + " of 40");
        assertTrue(countAttempts("heals") <= 20, countAttempts("heals") + " attempts");
        assertEquals(40, countAttempts("f"));
        invokers.forEach(invoker -> invoker.healsAt(0));
        GatewayFixture.waitUntil(
                () -> {
                    try {
                        return sendAndWait("seat-check", "heals").statusCode() == 200;
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                },
                "the recovered function is served");
        assertEquals(200, sendAndWait("seat-check", "heals").statusCode());
        assertTrue(
                fixture.fetchAdminPage("/metrics").body().contains("waytrestle_invokers_ejected 0"),
                "no invoker is ejected for the function's failures");
    }

    @Test
    void singleInvokerThatAnswers500IsEjectedAndNoRequestFails() throws Exception {
        fixture.start();
        invokers.get(0).failAll(500);
        int failed = 0;
        for (int i = 0; i < 200; i++) {
            failed += sendAndWait("seat-check", "f" + i % 20).statusCode() == 200 ? 0 : 1;
        }
        assertEquals(0, failed);
        int attemptsAtFirst = 0;
        for (int i = 0; i < 20; i++) {
            attemptsAtFirst += invokers.get(0).attempts("f" + i);
        }
        assertTrue(
                attemptsAtFirst > 0 && attemptsAtFirst <= 20,
                attemptsAtFirst + " attempts at the failing invoker");
        String metrics = fixture.fetchAdminPage("/metrics").body();
        assertTrue(metrics.contains("waytrestle_ejections_total 1"), metrics);
        assertTrue(metrics.contains("waytrestle_functions_blamed 0"), metrics);
        assertTrue(
                metrics.contains(
                        "waytrestle_replies_total{invoker=\""
                                + invokers.get(0).address()
                                + "\",reply=\"500\"}"));
    }

    /**
     * The settings promise that each response reports whether its function instance was loaded.
     * Here no invoker keeps the promise, or one of three does, or all report nonsense.
     */
    @Test
    void requestsAreServedWithLoadReportsMissingPartialOrNonsensical() throws Exception {
        OddInvoker.Says[][] reportCases = {
            {OddInvoker.Says.NOTHING, OddInvoker.Says.NOTHING, OddInvoker.Says.NOTHING},
            {OddInvoker.Says.ALL, OddInvoker.Says.NOTHING, OddInvoker.Says.NONSENSE},
            {OddInvoker.Says.NONSENSE, OddInvoker.Says.NONSENSE, OddInvoker.Says.NONSENSE}
        };
        for (OddInvoker.Says[] reports : reportCases) {
            for (int i = 0; i < 3; i++) {
                invokers.get(i).says(reports[i]);
            }
            fixture.start();
            for (int i = 0;
                    i < 10;
                    i++) { // one at a time: the run time is only estimated until the first response
                assertEquals(200, sendAndWait("seat-check", "g").statusCode());
            }
            int served = 0;
            for (int round = 0; round < 30; round++) {
                List<CompletableFuture<HttpResponse<String>>> pendingResponses = new ArrayList<>();
                for (int i = 0; i < 20; i++) {
                    pendingResponses.add(send("seat-check", "g"));
                }
                for (CompletableFuture<HttpResponse<String>> pending : pendingResponses) {
                    served += pending.get().statusCode() == 200 ? 1 : 0;
                }
            }
            assertTrue(served >= 594, List.of(reports) + ": " + served + " of 600");
            String metrics = fixture.fetchAdminPage("/metrics").body();
            boolean hasMissingReports =
                    metrics.lines()
                            .anyMatch(
                                    line ->
                                            line.matches(
                                                    ".*promise=\"start\",seen=\"untold\"}"
                                                            + " [1-9].*"));
            assertTrue(hasMissingReports || reports[0] != OddInvoker.Says.NOTHING, metrics);
            fixture.gateway.kill();
            fixture.gateway.join(5_000);
            fixture.gateway = null;
        }
    }

    @Test
    void kserveFrontEndReturnsModelErrorsAndAuthenticationErrorsAsErrorObjects() throws Exception {
        String key = "a-bearer-key";
        String keyHash =
                HexFormat.of()
                        .formatHex(MessageDigest.getInstance("SHA-256").digest(key.getBytes()));
        startWithReplacement(
                "8f0e3bd1c1ebc5b3a8a2f1f2a4e7d6c9b0a1928374655647382910afbecd1234", keyHash);
        String body =
                "{\"inputs\":[{\"name\":\"x\",\"datatype\":\"INT32\",\"shape\":[1],\"data\":[1]}]}";
        for (String[] errorCase :
                new String[][] {
                    {"s400", "400", "{\"error\":\"bad shape\"}"},
                    {"s422e", "422", "{\"error\":\"the model answered 422\"}"},
                    {"s500", "500", "{\"error\":\"bad shape\"}"}
                }) {
            HttpResponse<String> response =
                    sendKserveRequest("/v2/models/" + errorCase[0] + "/infer", key, body);
            assertEquals(errorCase[1], Integer.toString(response.statusCode()));
            assertEquals(errorCase[2], response.body());
        }
        HttpResponse<String> htmlResponse = sendKserveRequest("/v2/models/html/infer", key, body);
        assertEquals(502, htmlResponse.statusCode());
        assertTrue(
                htmlResponse
                        .body()
                        .startsWith("{\"error\":\"what the invokers sent was no answer\""),
                htmlResponse.body());
        for (String path :
                new String[] {
                    "/v2/models/f/infer",
                    "/v2/models/f",
                    "/v2/models/f/ready",
                    "/v2/repository/index"
                }) {
            HttpResponse<String> response =
                    sendKserveRequest(
                            path,
                            "another",
                            path.endsWith("infer") || path.endsWith("index") ? body : null);
            assertEquals(401, response.statusCode(), path);
            assertTrue(response.body().startsWith("{\"error\":"), path + response.body());
        }
        assertEquals(200, sendKserveRequest("/v2/models/f", key, null).statusCode());
    }

    private HttpResponse<String> sendKserveRequest(String path, String key, String body)
            throws Exception {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + fixture.gateway.port() + path))
                        .header("Authorization", "Bearer " + key);
        return fixture.client.send(
                body == null
                        ? request.build()
                        : request.POST(HttpRequest.BodyPublishers.ofString(body)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void accessLogHasOneLinePerRequestWithAHashedIdAcrossLogRotation(@TempDir Path dir)
            throws Exception {
        Path log = dir.resolve("access.jsonl");
        fixture.start(
                fixture.settingsText(false) + "\n[access_log]\nfile = \"" + log + "\"\n",
                FinishTimeScheduler::new);
        sendAndWait("seat-check", "f");
        sendAndWait("seat-check", "s500");
        Path rotatedLog = dir.resolve("access.1");
        GatewayFixture.waitUntil(() -> countLines(log) == 2, "two lines in the access log");
        Files.move(log, rotatedLog);
        assertTrue(fixture.gateway.reload());
        GatewayFixture.waitUntil(() -> Files.exists(log), "a new access log file after the reload");
        sendAndWait("seat-check", "s400");
        fixture.gateway.stop();
        fixture.gateway.join(10_000);
        List<String> lines = new ArrayList<>(Files.readAllLines(rotatedLog));
        lines.addAll(Files.readAllLines(log));
        assertEquals(3, lines.size(), lines.toString());
        assertTrue(
                lines.get(0).contains("\"end\":\"served\"")
                        && lines.get(0).contains("\"said\":\"200\""),
                lines.get(0));
        assertTrue(
                lines.get(0).contains("\"estimate_us\":") && !lines.get(0).contains("m0\""),
                lines.get(0));
        assertTrue(lines.get(0).contains(AccessLine.hash("/hooks/seat-check m0")), lines.get(0));
        assertTrue(
                lines.get(1)
                        .matches(".*\"reason\":\"function\".*\"said\":\"500\".*\"said\":\"500\".*"),
                lines.get(1));
        assertTrue(lines.get(2).contains("\"said\":\"400\""), lines.get(2));
    }

    private static int countLines(Path file) {
        try {
            return Files.exists(file) ? Files.readAllLines(file).size() : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    @Test
    void secretsFileIsReloadedWithoutFailingRequestsInFlightAndInvalidFilesAreRefused(
            @TempDir Path dir) throws Exception {
        String newSecret = "whsec_" + Base64.getEncoder().encodeToString(new byte[32]);
        Path secretsFile = dir.resolve("secrets");
        Files.writeString(
                secretsFile,
                "# the second while it is changed\n" + GatewayFixture.WEBHOOK_SECRET + "\n");
        Files.setPosixFilePermissions(secretsFile, PosixFilePermissions.fromString("rw-------"));
        String text =
                fixture.settingsText(false)
                        .replace(
                                "secrets = [\""
                                        + GatewayFixture.WEBHOOK_SECRET
                                        + "\"]  # several during a key rotation; whpk_ for Ed25519",
                                "secrets_file = \"" + secretsFile + "\"");
        fixture.start(text, FinishTimeScheduler::new);
        assertEquals(200, sendAndWait("seat-check", "f").statusCode());
        Files.writeString(secretsFile, "nonsense\n");
        assertFalse(
                fixture.gateway.reload(),
                "a secrets file with an error is refused and changes nothing");
        assertEquals(200, sendAndWait("seat-check", "f").statusCode());
        CompletableFuture<HttpResponse<String>> inFlightResponse = send("seat-check", "f");
        GatewayFixture.waitUntil(
                () -> countAttempts("f") == 3, "the third attempt, of the request in flight");
        Files.writeString(secretsFile, newSecret + "\n");
        assertTrue(fixture.gateway.reload());
        assertEquals(200, inFlightResponse.get().statusCode());
        GatewayFixture.waitUntil(
                () -> {
                    try {
                        return sendAndWait("seat-check", "f").statusCode() == 401;
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                },
                "requests signed with the old secret are refused");
        Files.setPosixFilePermissions(secretsFile, PosixFilePermissions.fromString("rw-r--r--"));
        ConfigException error =
                Assertions.assertThrows(
                        ConfigException.class,
                        () -> TomlFile.parse(text, "x.toml", GatewayConfig::from));
        assertTrue(error.errors().get(0).contains("chmod 600"), error.errors().toString());
    }
}
