package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.platform.PlatformFixture.awaitCondition;
import static waytrestle.platform.PlatformFixture.correlationId;
import static waytrestle.platform.PlatformFixture.endpointJson;
import static waytrestle.platform.PlatformFixture.readResponse;
import static waytrestle.platform.PlatformFixture.request;
import static waytrestle.platform.PlatformFixture.status;
import static waytrestle.platform.PlatformFixture.unchecked;
import static waytrestle.platform.PlatformFixture.watchEventJson;
import static waytrestle.platform.PlatformFixture.write;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import waytrestle.http.HttpServer;

/**
 * Two events that happen at the same time, forced into one order: what must hold is in
 * docs/platform.md, a row for each of these.
 */
class ConcurrentEventsTest {
    /** A drain grace so long that nothing times out before a test is over. */
    private static final UnaryOperator<String> LONG_DRAIN_GRACE =
            text -> text.replace("\"drain_grace_us\":1000000", "\"drain_grace_us\":60000000");

    /** A connect timeout so long that delayed connections are still awaited. */
    private static final UnaryOperator<String> LONG_CONNECT_TIMEOUT =
            text -> text.replace("\"connect_timeout_us\":250000", "\"connect_timeout_us\":9000000");

    private static final UnaryOperator<String> CANCELLATION_FORBIDDEN =
            text -> text.replace("\"cancel\":true", "\"cancel\":false");

    private static final String LOAD_THAT_OUTLASTS_THE_DEADLINE = "X-Extras: load_ms:9000\r\n";

    private PlatformFixture fixture;

    @BeforeEach
    void createFixture() throws Exception {
        fixture = new PlatformFixture();
    }

    @AfterEach
    void stopController() throws Exception {
        fixture.close();
    }

    // ---- Shutdown. ----
    @Test
    void afterTermAResponseClosesItsConnectionAndNewConnectionsAreStillAccepted() throws Exception {
        fixture.start();
        try (Socket connection = fixture.connect()) {
            write(connection, request("read", correlationId(1), "", "x"));
            assertFalse(readResponse(connection).contains("Connection: close"));
            fixture.controller().stop();
            awaitCondition(
                    unchecked(() -> fixture.readinessStatus() == 503), "TERM was not handled");
            write(connection, request("read", correlationId(2), "", "x"));
            String last = readResponse(connection);
            assertEquals(200, status(last));
            assertTrue(last.contains("Connection: close\r\n"), last);
            assertEquals(-1, connection.getInputStream().read(), "and it closes");
            assertEquals(200, status(fixture.send(request("read", correlationId(3), "", "x"))));
        }
    }

    @Test
    void aPartialRequestReceivedBeforeShutdownIsAwaitedAndAnswered() throws Exception {
        fixture.start();
        String message = request("book", correlationId(1), "", "body");
        try (Socket connection = fixture.connect()) {
            write(connection, message.substring(0, 60));
            awaitEarlierMessagesHandled();
            fixture.controller().stop();
            awaitListenerClosed();
            Thread.sleep(300); // far longer than a process without requests in flight would stay
            write(connection, message.substring(60));
            assertEquals(200, status(readResponse(connection)));
        }
        assertEquals(0, fixture.controller().join(10_000));
    }

    // ---- A client that disconnected. ----
    @Test
    void nothingIsSentForAClientThatDisconnectedWhileConnectingToTheInvoker() throws Exception {
        try (DelayedAcceptServer delayed = new DelayedAcceptServer()) {
            fixture.setConfigurationEdit(
                    text ->
                            invokerAt(delayed, text)
                                    .transform(CANCELLATION_FORBIDDEN)
                                    .transform(LONG_CONNECT_TIMEOUT));
            fixture.start();
            try (Socket client = fixture.connect()) {
                write(client, request("book", correlationId(1), "", "x"));
                awaitEarlierMessagesHandled();
            }
            awaitEarlierMessagesHandled();
            try (Socket connection = delayed.acceptDelayed()) {
                assertNotNull(connection, "the connection was still being established");
                assertEquals("", readUntilClosed(connection), "its client had disconnected");
            }
        }
    }

    // ---- Endpoint updates. ----
    @Test
    void nothingIsSentToAnInvokerThatWasDeclaredDrainingWhileConnecting() throws Exception {
        try (DelayedAcceptServer delayed = new DelayedAcceptServer()) {
            fixture.setConfigurationEdit(
                    text -> invokerAt(delayed, text).transform(LONG_CONNECT_TIMEOUT));
            fixture.start();
            try (Socket client = fixture.connect()) {
                write(client, request("book", correlationId(1), "", "x"));
                awaitEarlierMessagesHandled();
                fixture.watchServer.send(
                        watchEventJson(
                                2,
                                false,
                                endpointJson("s-1", "Terminating", delayed.port()),
                                fixture.endpointJson("s-2", "Ready")));
                try (Socket connection = delayed.acceptDelayed()) {
                    assertNotNull(connection, "the connection was still being established");
                    assertEquals(
                            "",
                            readUntilClosed(connection),
                            "the invoker was declared draining before anything was sent");
                }
                assertEquals(200, status(readResponse(client)), "another invoker serves it");
                assertEquals(1, fixture.invoker.requests().size());
            }
        }
    }

    @Test
    void noPreloadIsSentToAnInvokerThatWasDeclaredDrainingWhileConnecting() throws Exception {
        try (DelayedAcceptServer delayed = new DelayedAcceptServer()) {
            fixture.setConfigurationEdit(
                    text -> invokerAt(delayed, text).transform(LONG_CONNECT_TIMEOUT));
            fixture.invoker.setScript(ConcurrentEventsTest::loadInstancesButRunNothing);
            fixture.start();
            fixture.watchServer.send(
                    watchEventJson(
                            2,
                            false,
                            fixture.endpointJson("s-2", "Ready"),
                            endpointJson("s-1", "Terminating", delayed.port())));
            for (int i = 0; i < 4; i++) { // teaches that guesses find no loaded instance
                fixture.send(
                        request("book", correlationId(i), LOAD_THAT_OUTLASTS_THE_DEADLINE, "x"));
            }
            fixture.watchServer.send(
                    watchEventJson(
                            3,
                            false,
                            fixture.endpointJson("s-2", "Terminating"),
                            endpointJson("s-1", "Ready", delayed.port())));
            awaitEarlierMessagesHandled();
            String message =
                    request("book", correlationId(9), LOAD_THAT_OUTLASTS_THE_DEADLINE, "x")
                            .replace(PlatformFixture.FUNCTION, "00000000000000aa");
            assertEquals(
                    503,
                    status(fixture.send(message)),
                    "its function is preloaded at the only invoker, which outlasts the deadline");
            fixture.watchServer.send(
                    watchEventJson(4, false, endpointJson("s-1", "Terminating", delayed.port())));
            awaitEarlierMessagesHandled();
            try (Socket connection = delayed.acceptDelayed()) {
                assertNotNull(connection, "the connection was still being established");
                assertEquals(
                        "",
                        readUntilClosed(connection),
                        "it was declared draining before the preload was sent");
            }
        }
    }

    @Test
    void aKnownInvokerAtANewAddressIsSentRequestsThere() throws Exception {
        fixture.start();
        assertEquals(200, status(fixture.send(request("read", correlationId(1), "", "x"))));
        AtomicInteger received = new AtomicInteger();
        HttpServer moved =
                fixture.invoker.openServer(
                        100,
                        exchange -> {
                            received.incrementAndGet();
                            ScriptedInvoker.respond(exchange, 200, "there");
                        });
        fixture.watchServer.send(
                watchEventJson(2, false, endpointJson("s-1", "Ready", moved.port())));
        fixture.watchServer.send(
                watchEventJson(3, false, endpointJson("s-9", "Gone", moved.port())));
        awaitCondition(
                unchecked(() -> fixture.send(requestOfAnyId()).endsWith("there")),
                "requests still go to the old address");
        int before = fixture.invoker.requests().size();
        String response = fixture.send(request("book", correlationId(2), "", "x"));
        assertTrue(response.endsWith("there"), response);
        assertEquals(before, fixture.invoker.requests().size());
        assertTrue(received.get() >= 2);
    }

    // ---- The watch at the start. ----
    @Test
    void afterARestartNothingIsSentToADrainingInvokerBeforeTheWatchServerHasAnswered()
            throws Exception {
        fixture.setConfigurationEdit(LONG_DRAIN_GRACE);
        fixture.watchServer.leaveRequestsUnanswered();
        fixture.startUnready();
        try (Socket client = fixture.connect()) {
            write(client, request("book", correlationId(1), "", "x"));
            awaitEarlierMessagesHandled();
            assertEquals(503, fixture.readinessStatus(), "not ready yet");
            Thread.sleep(150); // several ticks of queued requests
            assertEquals(
                    0,
                    fixture.invoker.requests().size(),
                    "nothing is sent by an endpoint list that may be stale");
            fixture.watchServer.send(drainingEvent(openOtherInvoker()));
            assertTrue(readResponse(client).endsWith("elsewhere"));
        }
        assertEquals(200, fixture.readinessStatus());
        assertEquals(0, fixture.invoker.requests().size());
    }

    @Test
    void aWatchServerWhoseConnectionIsEstablishedLateIsAwaited() throws Exception {
        try (DelayedAcceptServer delayed = new DelayedAcceptServer()) {
            fixture.setConfigurationEdit(
                    text -> watchServerAt(delayed, text).transform(LONG_DRAIN_GRACE));
            fixture.startUnready();
            try (Socket client = fixture.connect()) {
                write(client, request("book", correlationId(1), "", "x"));
                awaitEarlierMessagesHandled();
                try (Socket watch = delayed.acceptDelayed()) {
                    assertNotNull(watch, "the connection was still being established");
                    assertEquals(0, fixture.invoker.requests().size());
                    write(watch, drainingEvent(openOtherInvoker()) + "\n");
                    assertTrue(readResponse(client).endsWith("elsewhere"));
                }
            }
            assertEquals(0, fixture.invoker.requests().size());
        }
    }

    @Test
    void requestsAreServedByConfiguredEndpointsWhenTheWatchServerNeverAnswers() throws Exception {
        try (DelayedAcceptServer silent = new DelayedAcceptServer()) {
            fixture.setConfigurationEdit(text -> watchServerAt(silent, text));
            fixture.startUnready();
            String response = fixture.send(request("book", correlationId(1), "", "x"));
            assertEquals(200, status(response), "it was queued, and served");
            assertEquals(200, fixture.readinessStatus());
            List<String> sent = fixture.invoker.requests();
            assertEquals(2, sent.size(), sent::toString);
            assertTrue(sent.get(0).startsWith("GET /load|"), "its health is checked first");
            assertTrue(sent.get(1).startsWith("POST /fetch/book|"), sent.get(1));
        }
    }

    @Test
    void nothingIsServedByConfiguredEndpointsWhereTheirHealthMayNotBeChecked() throws Exception {
        try (DelayedAcceptServer silent = new DelayedAcceptServer()) {
            fixture.setConfigurationEdit(
                    text ->
                            watchServerAt(silent, text)
                                    .replace("\"may_probe\":true", "\"may_probe\":false"));
            fixture.startUnready();
            String response = fixture.send(request("book", correlationId(1), "", "x"));
            assertEquals(503, status(response), "rejected at once, not at its deadline");
            assertEquals("1000", PlatformFixture.header(response, "X-Pushback-Ms"));
            assertEquals(List.of(), fixture.invoker.requests());
        }
    }

    // ---- Reload. ----
    @Test
    void ofTwoConcurrentReloadsTheLaterOneCountsThoughTheOlderIsReadLast() throws Exception {
        fixture.start();
        awaitCondition(() -> fixture.watchServer.requests().contains("watch 1"), "never watched");
        Path olderFile = Path.of(fixture.configurationFile + ".older");
        assertEquals(0, new ProcessBuilder("mkfifo", olderFile.toString()).start().waitFor());
        try (WatchServer later = new WatchServer();
                WatchServer older = new WatchServer()) {
            Thread olderReload = new Thread(() -> fixture.controller().reload(olderFile));
            olderReload.start();
            // The pipe opens once the older reload has begun to read it.
            try (OutputStream pipe = Files.newOutputStream(olderFile)) {
                fixture.writeConfiguration(later);
                fixture.controller().reload(fixture.configurationFile);
                awaitCondition(
                        () -> later.requests().contains("watch 1"),
                        "the new address is not watched");
                String olderText = fixture.configurationJson(older);
                pipe.write(olderText.getBytes(StandardCharsets.UTF_8));
            }
            olderReload.join(TimeUnit.SECONDS.toMillis(10));
            awaitEarlierMessagesHandled();
            later.send(watchEventJson(2, false, fixture.endpointJson("s-2", "Ready")));
            later.lastConnection().close();
            awaitCondition(
                    () -> later.requests().contains("watch 2") || !older.requests().isEmpty(),
                    "no longer watched");
            assertTrue(older.requests().isEmpty(), "the older configuration was applied");
        } finally {
            Files.delete(olderFile);
        }
    }

    // ---- Helpers. ----
    /** The controller has handled all that was sent before: it answers what was sent after that. */
    private void awaitEarlierMessagesHandled() throws Exception {
        for (int i = 0; i < 2; i++) {
            int status = fixture.readinessStatus();
            assertTrue(status == 200 || status == 503, "readiness " + status);
        }
    }

    private void awaitListenerClosed() throws Exception {
        awaitCondition(this::refusesConnections, "it went on listening");
    }

    private boolean refusesConnections() {
        try (Socket connection = fixture.connect()) {
            return false;
        } catch (Exception e) {
            return true;
        }
    }

    /** All that comes before the other side ends the connection, in whatever way. */
    private static String readUntilClosed(Socket connection) throws IOException {
        StringBuilder text = new StringBuilder();
        try {
            int next = connection.getInputStream().read();
            while (next >= 0) {
                text.append((char) next);
                next = connection.getInputStream().read();
            }
        } catch (SocketException e) {
            // reset by the other side: what came before it counts
        }
        return text.toString();
    }

    private static String requestOfAnyId() {
        int number = (int) System.nanoTime() & 0xffff;
        return request("read", correlationId(number), "", "x");
    }

    /** Replaces the address of the configured invoker. */
    private String invokerAt(DelayedAcceptServer server, String configuration) {
        return configuration.replace(
                "127.0.0.1:" + fixture.invoker.port(), "127.0.0.1:" + server.port());
    }

    /** Replaces the address of the watch server. */
    private static String watchServerAt(DelayedAcceptServer server, String configuration) {
        return configuration.replaceFirst(
                "\"board\":\"127.0.0.1:\\d+\"", "\"board\":\"127.0.0.1:" + server.port() + "\"");
    }

    private static void loadInstancesButRunNothing(HttpServer.Exchange exchange) {
        if (exchange.message().method().equals("PUT")) {
            ScriptedInvoker.respond(exchange, 200, "", "X-Units", "1");
        } else {
            ScriptedInvoker.respond(exchange, 404, "");
        }
    }

    private HttpServer openOtherInvoker() throws Exception {
        return fixture.invoker.openServer(
                100, exchange -> ScriptedInvoker.respond(exchange, 200, "elsewhere"));
    }

    /** The event of the time while the process starts: s-1 drains, another invoker is ready. */
    private String drainingEvent(HttpServer other) {
        return watchEventJson(
                2,
                false,
                fixture.endpointJson("s-1", "Terminating"),
                endpointJson("s-2", "Ready", other.port()));
    }
}
