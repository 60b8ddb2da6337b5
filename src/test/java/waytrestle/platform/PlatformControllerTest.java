package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.platform.PlatformFixture.FUNCTION;
import static waytrestle.platform.PlatformFixture.awaitCondition;
import static waytrestle.platform.PlatformFixture.correlationId;
import static waytrestle.platform.PlatformFixture.readResponse;
import static waytrestle.platform.PlatformFixture.request;
import static waytrestle.platform.PlatformFixture.status;
import static waytrestle.platform.PlatformFixture.unchecked;
import static waytrestle.platform.PlatformFixture.watchEventJson;
import static waytrestle.platform.PlatformFixture.write;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import waytrestle.config.platform.PlatformConfig;

/** The platform's controller over sockets: what crosses them, message by message. */
class PlatformControllerTest {
    private static final String LOAD_THAT_OUTLASTS_THE_DEADLINE = "X-Extras: load_ms:9000\r\n";

    private PlatformFixture fixture;

    @BeforeEach
    void startController() throws Exception {
        fixture = new PlatformFixture().start();
    }

    @AfterEach
    void stopController() throws Exception {
        fixture.close();
    }

    @Test
    void theReadinessCheckSucceedsOnceStarted() throws Exception {
        assertEquals(200, fixture.readinessStatus());
    }

    @Test
    void aRequestIsForwardedUnchangedAndItsResponseToo() throws Exception {
        String hints = "X-Extras: memory_mb:512;lanes:2;load_ms:640\r\n";
        String response = fixture.send(request("read", correlationId(1), hints, "a b\nc"));
        assertEquals(200, status(response));
        assertTrue(response.endsWith("\r\n\r\ndone"), response);
        String forwarded = fixture.invoker.requests().get(0);
        assertTrue(
                forwarded.matches(
                        "(?s)POST /fetch/read\\|host=.*\\|x-txn="
                                + correlationId(1)
                                + "\\|x-name=7f3a9c21e0b4d655\\|x-limit-ms=29\\d\\d"
                                + "\\|content-length=5\\|a b\nc"),
                forwarded);
    }

    @Test
    void aRequestWithoutABodyIsForwardedAsGet() throws Exception {
        assertEquals(200, status(fixture.send(request("book", correlationId(2), "", ""))));
        String forwarded = fixture.invoker.requests().get(0);
        assertTrue(forwarded.startsWith("GET /fetch/book|"), forwarded);
        assertFalse(forwarded.contains("content-length"), forwarded);
    }

    @Test
    void anInvalidRequestIsRejectedAndReachesNoInvoker() throws Exception {
        String valid = request("read", correlationId(1), "", "x");
        String[][] replacements = {
            {"X-Class: read", "X-Class: none"},
            {"X-Class: read\r\n", ""},
            {"X-Class: read", "X-Class: read\r\nX-Class: book"},
            {correlationId(1), "9B1F03AA5C7E2D41"},
            {correlationId(1), "12"},
            {"X-Correlation-Id: " + correlationId(1) + "\r\n", ""},
            {"Ms: 3000", "Ms: 0"},
            {"Ms: 3000", "Ms: -1"},
            {"Ms: 3000", "Ms: 1e3"},
            {"Ms: 3000", "Ms: NaN"},
            {"Ms: 3000", "Ms: 99999999999999999999"},
            {"X-Deadline-Ms: 3000\r\n", ""},
            {"/call", "/other"},
            {"7f3a9c21e0b4d655", "7f3a"},
            {"POST", "PUT"},
            {"Host: api", "X-Extras: lanes:0\r\nHost: api"},
            {"Host: api", "X-Extras: memory_mb:9000\r\nHost: api"},
            {"Host: api", "X-Extras: load_ms:x\r\nHost: api"},
            {"Host: api", "X-Extras: other:1\r\nHost: api"},
            {"Host: api", "X-Resent: maybe\r\nHost: api"},
            {"Content-Length: 1", "Content-Length: -1"},
            {"Content-Length: 1", "Content-Length: 60000000"},
            {"Content-Length: 1", "Content-Length: 1\r\nTransfer-Encoding: chunked"}
        };
        for (String[] replacement : replacements) {
            String invalid = valid.replace(replacement[0], replacement[1]);
            int status = status(fixture.send(invalid));
            assertTrue(
                    status >= 400 && status < 500 && status != 429,
                    replacement[1] + " was answered " + status);
        }
        assertEquals(0, fixture.invoker.requests().size());
        assertEquals(200, status(fixture.send(valid)), "the request itself is valid");
    }

    @Test
    void aCorrelationIdThatComesAgainIsJoinedThenAnsweredAlikeAndNeverRunTwice() throws Exception {
        AtomicInteger received = new AtomicInteger();
        fixture.invoker.setScript(
                exchange -> {
                    received.incrementAndGet();
                    fixture.invoker.schedule(
                            300_000, () -> ScriptedInvoker.respond(exchange, 200, "late"));
                });
        try (Socket connection = fixture.connect()) {
            write(connection, request("book", correlationId(1), "", "x"));
            awaitCondition(() -> received.get() == 1, "the first was not forwarded");
            assertEquals(409, status(fixture.send(request("book", correlationId(1), "", "y"))));
            String joined = fixture.send(request("book", correlationId(1), "", "x"));
            assertTrue(joined.endsWith("late"), joined);
            assertEquals(200, status(readResponse(connection)));
        }
        String repeated = fixture.send(request("book", correlationId(1), "", "x"));
        assertTrue(repeated.endsWith("late"), repeated);
        assertEquals(409, status(fixture.send(request("book", correlationId(1), "", "y"))));
        assertEquals(1, received.get(), "no repeat was run");
    }

    @Test
    void anUnsafeRequestWhoseClientLeftIsNotRunAgainAndASafeOneIs() throws Exception {
        AtomicInteger received = new AtomicInteger();
        fixture.invoker.setScript(exchange -> received.incrementAndGet());
        for (int i = 0; i < 2; i++) {
            String message = request(i == 0 ? "book" : "read", correlationId(i), "", "x");
            int before = received.get();
            try (Socket connection = fixture.connect()) {
                write(connection, message);
                awaitCondition(() -> received.get() == before + 1, "it was not forwarded");
            }
            awaitCondition(
                    unchecked(() -> requestsInFlight() == 0), "its client's going was not seen");
            fixture.invoker.setScript(exchange -> ScriptedInvoker.respond(exchange, 200, "anew"));
            assertEquals(i == 0 ? 502 : 200, status(fixture.send(message)));
            fixture.invoker.setScript(exchange -> received.incrementAndGet());
        }
    }

    private int requestsInFlight() throws Exception {
        CompletableFuture<TableSizes> sizes = new CompletableFuture<>();
        fixture.controller().tableSizes(sizes::complete);
        return sizes.get(10, TimeUnit.SECONDS).requestsInFlight();
    }

    @Test
    void anIdleConnectionThatSentBytesOrClosedIsNotUsedWhileAMessageIsBeingRead() throws Exception {
        List<String> forwarded = fixture.invoker.requests();
        fixture.invoker.setScript(
                exchange -> {
                    ScriptedInvoker.respond(exchange, 200, "done", "Connection", "keep-alive");
                    if (forwarded.size() == 1) {
                        fixture.invoker.schedule(0, fixture.invoker::closeIdle);
                    }
                });
        try (Socket connection = fixture.connect()) {
            // With bodies: the check of an idle connection must not touch what was read of them.
            for (int i = 1; i <= 20; i++) {
                write(connection, request("book", correlationId(i), "", "body " + i));
                assertEquals(200, status(readResponse(connection)), "request " + i);
                assertTrue(forwarded.get(i - 1).endsWith("|body " + i), forwarded.get(i - 1));
                Thread.sleep(i == 1 ? 50 : 0);
            }
        }
    }

    @Test
    void anUnmarkedRejectionFailsANonIdempotentRequestWithoutARetry() throws Exception {
        fixture.invoker.setScript(
                exchange -> ScriptedInvoker.respond(exchange, 503, "no mark, no proof"));
        int status = status(fixture.send(request("book", correlationId(1), "", "x")));
        assertTrue(status >= 500 && status != 503, "it may have run: " + status);
        assertEquals(1, fixture.invoker.requests().size());
    }

    @Test
    void anUnmarkedRejectionOfAnIdempotentRequestIsRetried() throws Exception {
        fixture.invoker.setScript(
                exchange -> {
                    if (fixture.invoker.requests().size() == 1) {
                        ScriptedInvoker.respond(exchange, 503, "no mark, no proof");
                    } else {
                        ScriptedInvoker.respond(exchange, 200, "done");
                    }
                });
        fixture.watchServer.send(watchEventJson(2, false, fixture.endpointJson("s-2", "Ready")));
        Thread.sleep(200);
        assertEquals(200, status(fixture.send(request("read", correlationId(2), "", "x"))));
        assertEquals(2, fixture.invoker.requests().size());
    }

    @Test
    void aRejectionIsSentAtOnceAndSaysWhenToRetry() throws Exception {
        fixture.invoker.setScript(ScriptedInvoker::reportNotLoaded);
        long startNanos = System.nanoTime();
        String response =
                fixture.send(
                        request("book", correlationId(1), LOAD_THAT_OUTLASTS_THE_DEADLINE, "x"));
        assertEquals(503, status(response), "not loaded, so it is proved not to have run");
        assertTrue(response.contains("X-Pushback-Ms: 2000\r\n"), response);
        assertTrue(System.nanoTime() - startNanos < 2_000_000_000L, "not held until its deadline");
    }

    @Test
    void aFunctionIsPreloadedForTheRetryOfARejectedRequest() throws Exception {
        fixture.invoker.setScript(ScriptedInvoker::reportNotLoaded);
        String response =
                fixture.send(
                        request("book", correlationId(1), LOAD_THAT_OUTLASTS_THE_DEADLINE, "x"));
        assertEquals(503, status(response));
        awaitCondition(() -> fixture.invoker.requests().size() > 1, "nothing was preloaded");
        String preload = fixture.invoker.requests().get(1);
        assertTrue(preload.startsWith("PUT /fetch/7f3a9c21e0b4d655/1|"), preload);
    }

    @Test
    void aBrokenWatchResumesAfterTheLastCompleteEvent() throws Exception {
        WatchServer watchServer = fixture.watchServer;
        String event = watchEventJson(2, false, fixture.endpointJson("s-2", "Ready"));
        awaitCondition(() -> watchServer.requests().contains("watch 1"), "never watched");
        watchServer.send(event);
        watchServer.send(event);
        write(watchServer.lastConnection(), "{\"rev\":3,\"po");
        Thread.sleep(100);
        watchServer.lastConnection().close();
        awaitCondition(
                () -> watchServer.requests().contains("watch 2"),
                "not resumed from the last complete event");
    }

    @Test
    void aReloadMovesTheWatchToTheNewAddress() throws Exception {
        advanceWatchToRevisionTwo();
        try (WatchServer moved = new WatchServer()) {
            fixture.writeConfiguration(moved);
            fixture.controller().reload(fixture.configurationFile);
            awaitCondition(
                    () -> moved.requests().contains("watch 2"), "the new address is not watched");
        }
    }

    @Test
    void aPartlyWrittenConfigurationChangesNothingUntilItIsComplete() throws Exception {
        advanceWatchToRevisionTwo();
        Files.writeString(fixture.configurationFile, "{\"board\":");
        Thread reload = new Thread(() -> fixture.controller().reload(fixture.configurationFile));
        reload.start();
        assertEquals(200, status(fixture.send(request("read", correlationId(1), "", "x"))));
        try (WatchServer moved = new WatchServer()) {
            fixture.writeConfiguration(moved);
            awaitCondition(
                    () -> moved.requests().contains("watch 2"),
                    "the complete configuration was not applied");
            reload.join();
        }
    }

    private void advanceWatchToRevisionTwo() throws Exception {
        WatchServer watchServer = fixture.watchServer;
        watchServer.send(watchEventJson(2, false, fixture.endpointJson("s-2", "Ready")));
        Thread.sleep(100);
        watchServer.lastConnection().close();
        awaitCondition(() -> watchServer.requests().contains("watch 2"), "not resumed");
    }

    @Test
    void requestsAreStillAcceptedForAWhileAfterTermAndAllAreAnswered() throws Exception {
        fixture.invoker.setScript(
                exchange ->
                        fixture.invoker.schedule(
                                900_000, () -> ScriptedInvoker.respond(exchange, 200, "done")));
        try (Socket openBefore = fixture.connect()) {
            fixture.controller().stop();
            Thread.sleep(150);
            write(openBefore, request("book", correlationId(1), "", "x"));
            try (Socket openedAfter = fixture.connect()) {
                write(openedAfter, request("read", correlationId(2), "", "x"));
                assertEquals(200, status(readResponse(openedAfter)));
                assertEquals(200, status(readResponse(openBefore)));
            }
        }
        assertEquals(0, fixture.controller().join(10_000));
        assertThrows(IOException.class, () -> fixture.connect(), "the listener is closed");
    }

    @Test
    void silentConnectionsGiveWayToThoseThatSendRequests() throws Exception {
        fixture.close();
        fixture = new PlatformFixture();
        fixture.setSockets("64"); // 8 for clients
        fixture.start();
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            silent.add(fixture.connect());
        }
        Thread.sleep(400);
        for (int i = 0; i < 6; i++) {
            assertEquals(200, status(fixture.send(request("read", correlationId(i), "", "x"))));
        }
        for (Socket connection : silent) {
            byte[] bytes = connection.getInputStream().readAllBytes(); // throws unless closed
            String received = new String(bytes, StandardCharsets.US_ASCII);
            assertTrue(received.isEmpty() || received.startsWith("HTTP/1.1 503 "), received);
            connection.close();
        }
    }

    @Test
    void anInvalidConfigurationIsNamedByFileAndField() throws Exception {
        String valid = Files.readString(fixture.configurationFile);
        String[][] replacements = {
            {"\"board\":\"127.0.0.1", "\"board\":\"localhost"},
            {"8c1f30d27a5be964", "seed"},
            {"\"sockets\":256", "\"sockets\":\"many\""},
            {"\"health\":\"Ready\"", "\"health\":\"Well\""}
        };
        String[] namedFields = {"board", "seed", "sockets", "health"};
        for (int i = 0; i < replacements.length; i++) {
            String original = replacements[i][0];
            assertTrue(valid.contains(original), original);
            Files.writeString(
                    fixture.configurationFile, valid.replace(original, replacements[i][1]));
            PlatformConfig.InvalidConfigException error =
                    assertThrows(
                            PlatformConfig.InvalidConfigException.class,
                            () -> PlatformConfig.read(fixture.configurationFile));
            String message = error.getMessage();
            assertTrue(message.startsWith(fixture.configurationFile + ": "), message);
            assertTrue(message.contains(namedFields[i]), message);
        }
        Files.writeString(fixture.configurationFile, valid);
        assertFalse(PlatformConfig.read(fixture.configurationFile).knownEvents().isEmpty());
    }

    @Test
    void tablesDoNotGrowWhileThousandsOfInvokersAndClientsComeAndGo() throws Exception {
        assertEquals(200, status(fixture.send(request("read", correlationId(0), "", "x"))));
        TableSizes early = null;
        for (int round = 0; round < 40; round++) {
            addAndRemoveInvokers(round);
            if (round == 9) {
                early = tableSizes();
            }
        }
        TableSizes last = tableSizes();
        assertEquals(early.requestsInFlight(), last.requestsInFlight(), "requests in flight");
        assertEquals(early.addresses(), last.addresses(), "addresses");
        assertEquals(early.startTimes(), last.startTimes(), "start times");
        assertEquals(early.invokerClients(), last.invokerClients(), "invoker clients");
        awaitCondition(
                unchecked(() -> tableSizes().timers() <= 30),
                "timers of completed requests last for their three seconds, no longer");
    }

    /** Guards against a heap filled by timers of requests that ended long before their deadline. */
    @Test
    void timersOfEndedRequestsDoNotWaitForTheirDeadlines() throws Exception {
        String unknown = FUNCTION.replace('7', '8');
        for (int i = 0; i < 200; i++) {
            String served = request("read", correlationId(2 * i), "", "x");
            String rejected =
                    request("read", correlationId(2 * i + 1), "X-Extras: load_ms:60000\r\n", "x")
                            .replace(FUNCTION, unknown);
            fixture.send(served.replace("Ms: 3000", "Ms: 30000"));
            fixture.send(rejected.replace("Ms: 3000", "Ms: 30000"));
        }
        awaitCondition(
                unchecked(() -> tableSizes().timers() <= 30),
                "timers wait for deadlines of 30 s: " + tableSizes());
    }

    /** Adds 100 invokers, sends 10 requests, removes the invokers and awaits that all is gone. */
    private void addAndRemoveInvokers(int round) throws Exception {
        String[] added = new String[100];
        String[] removed = new String[100];
        for (int i = 0; i < added.length; i++) {
            String id = "t-" + round + "-" + i;
            added[i] =
                    fixture.endpointJson(id, "Ready")
                            .replace("\"born_ms\":0", "\"born_ms\":" + System.currentTimeMillis());
            removed[i] = fixture.endpointJson(id, "Gone");
        }
        int revision = 2 + 2 * round;
        fixture.watchServer.send(watchEventJson(revision, false, added));
        for (int i = 0; i < 10; i++) {
            String id = correlationId(1 + round * 10 + i);
            assertEquals(200, status(fixture.send(request("read", id, "", "x"))));
        }
        fixture.watchServer.send(watchEventJson(revision + 1, false, removed));
        awaitCondition(
                unchecked(() -> onlyConfiguredInvokerRemains(tableSizes())),
                "not everything that was added is gone: " + tableSizes());
    }

    private static boolean onlyConfiguredInvokerRemains(TableSizes sizes) {
        return sizes.addresses() == 1
                && sizes.clientConnections() == 0
                && sizes.requestEntries() == 0;
    }

    private TableSizes tableSizes() throws Exception {
        CompletableFuture<TableSizes> sizes = new CompletableFuture<>();
        fixture.controller().tableSizes(sizes::complete);
        return sizes.get(10, TimeUnit.SECONDS);
    }
}
