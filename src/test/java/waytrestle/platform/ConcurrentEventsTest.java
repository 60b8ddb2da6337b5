package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpServer;

/**
 * Two events that meet, forced by order: what must hold is in docs/platform.md, a row for each of
 * these.
 */
class ConcurrentEventsTest {
    private PlatformFixture bed;

    @BeforeEach
    void make() throws Exception {
        bed = new PlatformFixture();
    }

    @AfterEach
    void stop() throws Exception {
        bed.close();
    }

    private static String id(int n) {
        return "%016x".formatted(0x9b1f03aa5c7e0000L + n);
    }

    private static int status(String answer) {
        return Integer.parseInt(answer.split(" ")[1]);
    }

    private static void write(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The node has seen all that was sent to it before: it answers what came after that. */
    private void passed() throws Exception {
        for (int i = 0; i < 2; i++) {
            assertTrue(bed.ask("GET /check HTTP/1.1\r\nHost: api\r\n\r\n").startsWith("HTTP/1.1 "));
        }
    }

    /** All that came before the other side ended the connection, in whatever way. */
    private static String all(Socket s) throws IOException {
        StringBuilder all = new StringBuilder();
        try {
            for (int c = s.getInputStream().read(); c >= 0; c = s.getInputStream().read()) {
                all.append((char) c);
            }
        } catch (SocketException reset) {
            // what came before it counts
        }
        return all.toString();
    }

    private void awaitClosedDoor() throws Exception {
        PlatformFixture.until(
                () -> {
                    try (Socket s = bed.socket()) {
                        return false;
                    } catch (Exception closed) {
                        return true;
                    }
                },
                "it went on listening");
    }

    // ---- Shutdown. ----
    @Test
    void afterTermAnAnswerTellsItsClientToComeOnAnotherConnectionAndThatOneIsTaken()
            throws Exception {
        bed.start();
        try (Socket s = bed.socket()) {
            write(s, PlatformFixture.call("read", id(1), "", "x"));
            assertFalse(PlatformFixture.answer(s).contains("Connection: close"));
            bed.node.stop();
            PlatformFixture.until(
                    () -> {
                        try {
                            return status(bed.ask("GET /check HTTP/1.1\r\nHost: api\r\n\r\n"))
                                    == 503;
                        } catch (Exception e) {
                            throw new AssertionError(e);
                        }
                    },
                    "TERM was not seen");
            write(s, PlatformFixture.call("read", id(2), "", "x"));
            String last = PlatformFixture.answer(s);
            assertEquals(200, status(last));
            assertTrue(last.contains("Connection: close\r\n"), last);
            assertEquals(-1, s.getInputStream().read(), "and it closes");
            assertEquals(200, status(bed.ask(PlatformFixture.call("read", id(3), "", "x"))));
        }
    }

    @Test
    void aRequestOfWhichOnlyPiecesCameBeforeTheEndIsAwaitedAndAnswered() throws Exception {
        bed.start();
        String call = PlatformFixture.call("book", id(1), "", "body");
        try (Socket s = bed.socket()) {
            write(s, call.substring(0, 60));
            passed();
            bed.node.stop();
            awaitClosedDoor();
            Thread.sleep(300); // far beyond what a process without open calls used to stay
            write(s, call.substring(60));
            assertEquals(200, status(PlatformFixture.answer(s)));
        }
        assertEquals(0, bed.node.join(10_000));
    }

    // ---- A client that left. ----
    @Test
    void nothingBeginsForAClientThatLeftWhileTheConnectionToTheInvokerWasComingUp()
            throws Exception {
        try (DelayedAcceptServer door = new DelayedAcceptServer()) {
            bed.edit =
                    s ->
                            s.replace("127.0.0.1:" + bed.invoker.port(), "127.0.0.1:" + door.port())
                                    .replace("\"cancel\":true", "\"cancel\":false")
                                    .replace(
                                            "\"connect_timeout_us\":250000",
                                            "\"connect_timeout_us\":9000000");
            bed.start();
            try (Socket s = bed.socket()) {
                write(s, PlatformFixture.call("book", id(1), "", "x"));
                passed();
            }
            passed();
            try (Socket late = door.open()) {
                assertNotNull(late, "the connection was still coming up");
                assertEquals("", all(late), "its client had gone");
            }
        }
    }

    // ---- Hand-overs. ----
    @Test
    void nothingBeginsAtAnInvokerThatWasToldToEndWhileTheConnectionWasComingUp() throws Exception {
        try (DelayedAcceptServer door = new DelayedAcceptServer()) {
            bed.edit =
                    s ->
                            s.replace("127.0.0.1:" + bed.invoker.port(), "127.0.0.1:" + door.port())
                                    .replace(
                                            "\"connect_timeout_us\":250000",
                                            "\"connect_timeout_us\":9000000");
            bed.start();
            try (Socket s = bed.socket()) {
                write(s, PlatformFixture.call("book", id(1), "", "x"));
                passed();
                bed.board.say(
                        PlatformFixture.event(
                                2,
                                false,
                                PlatformFixture.host("s-1", "Terminating", door.port()),
                                bed.host("s-2", "Ready")));
                try (Socket late = door.open()) {
                    assertNotNull(late, "the connection was still coming up");
                    assertEquals(
                            "", all(late), "the invoker was told to end before anything was sent");
                }
                assertEquals(200, status(PlatformFixture.answer(s)), "another one serves it");
                assertEquals(1, bed.asked.size());
            }
        }
    }

    @Test
    void noLoadIsOrderedAtAnInvokerThatWasToldToEndWhileTheConnectionWasComingUp()
            throws Exception {
        try (DelayedAcceptServer door = new DelayedAcceptServer()) {
            bed.edit =
                    s ->
                            s.replace("127.0.0.1:" + bed.invoker.port(), "127.0.0.1:" + door.port())
                                    .replace(
                                            "\"connect_timeout_us\":250000",
                                            "\"connect_timeout_us\":9000000");
            bed.script =
                    e -> {
                        if (e.message().method().equals("PUT")) {
                            e.answer(200, "", new byte[0], "X-Units", "1");
                        } else {
                            e.answer(404, "", new byte[0]);
                        }
                    };
            bed.start();
            bed.board.say(
                    PlatformFixture.event(
                            2,
                            false,
                            bed.host("s-2", "Ready"),
                            PlatformFixture.host("s-1", "Terminating", door.port())));
            for (int i = 0; i < 4; i++) { // misses at s-2 teach that guesses find no copy
                bed.ask(PlatformFixture.call("book", id(i), "X-Extras: load_ms:9000\r\n", "x"));
            }
            bed.board.say(
                    PlatformFixture.event(
                            3,
                            false,
                            bed.host("s-2", "Terminating"),
                            PlatformFixture.host("s-1", "Ready", door.port())));
            passed();
            int refused =
                    status(
                            bed.ask(
                                    PlatformFixture.call(
                                                    "book",
                                                    id(9),
                                                    "X-Extras: load_ms:9000\r\n",
                                                    "x")
                                            .replace("7f3a9c21e0b4d655", "00000000000000aa")));
            assertEquals(503, refused, "its load is ordered at the only invoker, and outlasts it");
            bed.board.say(
                    PlatformFixture.event(
                            4, false, PlatformFixture.host("s-1", "Terminating", door.port())));
            passed();
            try (Socket late = door.open()) {
                assertNotNull(late, "the connection was still coming up");
                assertEquals("", all(late), "it was told to end before the order was sent");
            }
        }
    }

    @Test
    void aKnownInvokerAtANewAddressIsAskedThere() throws Exception {
        bed.start();
        assertEquals(200, status(bed.ask(PlatformFixture.call("read", id(1), "", "x"))));
        AtomicInteger elsewhere = new AtomicInteger();
        HttpServer moved =
                new HttpServer(
                        bed.loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        HttpLimits.DEFAULT,
                        100,
                        e -> {
                            elsewhere.incrementAndGet();
                            e.answer(200, "", "there".getBytes());
                        });
        bed.board.say(
                PlatformFixture.event(
                        2, false, PlatformFixture.host("s-1", "Ready", moved.port())));
        bed.board.say(
                PlatformFixture.event(3, false, PlatformFixture.host("s-9", "Gone", moved.port())));
        PlatformFixture.until(
                () -> {
                    try {
                        return bed.ask(
                                        PlatformFixture.call(
                                                "read",
                                                id((int) System.nanoTime() & 0xffff),
                                                "",
                                                "x"))
                                .endsWith("there");
                    } catch (Exception e) {
                        throw new AssertionError(e);
                    }
                },
                "it was asked at the address it had left");
        int before = bed.asked.size();
        assertTrue(bed.ask(PlatformFixture.call("book", id(2), "", "x")).endsWith("there"));
        assertEquals(before, bed.asked.size());
        assertTrue(elsewhere.get() >= 2);
    }

    // ---- List watch. ----
    private static final String LONG_GRACE =
            "\"drain_grace_us\":60000000"; // no time-out before the test is over

    private HttpServer elsewhere() throws Exception {
        return new HttpServer(
                bed.loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                HttpLimits.DEFAULT,
                100,
                e -> e.answer(200, "", "elsewhere".getBytes()));
    }

    /**
     * What the board tells while the process starts: the one that was ready drains, another has
     * come.
     */
    private String drains(HttpServer other) {
        return PlatformFixture.event(
                2,
                false,
                bed.host("s-1", "Terminating"),
                PlatformFixture.host("s-2", "Ready", other.port()));
    }

    @Test
    void aRestartWhileAnInvokerIsToldToEndSendsNothingThereBeforeTheBoardHasAnswered()
            throws Exception {
        bed.edit = s -> s.replace("\"drain_grace_us\":1000000", LONG_GRACE);
        bed.board.answers = false;
        bed.startUnready();
        try (Socket s = bed.socket()) {
            write(s, PlatformFixture.call("book", id(1), "", "x"));
            passed();
            assertEquals(
                    503,
                    status(bed.ask("GET /check HTTP/1.1\r\nHost: api\r\n\r\n")),
                    "not ready yet");
            Thread.sleep(150); // several looks at calls that wait
            assertEquals(0, bed.asked.size(), "nothing is sent by a list that may be old");
            bed.board.say(drains(elsewhere()));
            assertTrue(PlatformFixture.answer(s).endsWith("elsewhere"));
        }
        assertEquals(200, status(bed.ask("GET /check HTTP/1.1\r\nHost: api\r\n\r\n")));
        assertEquals(0, bed.asked.size());
    }

    @Test
    void aBoardWhoseConnectionComesUpLateIsAwaited() throws Exception {
        try (DelayedAcceptServer late = new DelayedAcceptServer()) {
            bed.edit =
                    s ->
                            s.replace("\"drain_grace_us\":1000000", LONG_GRACE)
                                    .replaceFirst(
                                            "\"board\":\"127.0.0.1:\\d+\"",
                                            "\"board\":\"127.0.0.1:" + late.port() + "\"");
            bed.startUnready();
            try (Socket s = bed.socket()) {
                write(s, PlatformFixture.call("book", id(1), "", "x"));
                passed();
                try (Socket board = late.open()) {
                    assertNotNull(board, "the connection was still coming up");
                    assertEquals(0, bed.asked.size());
                    write(board, drains(elsewhere()) + "\n");
                    assertTrue(PlatformFixture.answer(s).endsWith("elsewhere"));
                }
            }
            assertEquals(0, bed.asked.size());
        }
    }

    @Test
    void withABoardThatNeverAnswersCallsAreServedByWhatIsKnown() throws Exception {
        try (DelayedAcceptServer never = new DelayedAcceptServer()) {
            bed.edit =
                    s ->
                            s.replaceFirst(
                                    "\"board\":\"127.0.0.1:\\d+\"",
                                    "\"board\":\"127.0.0.1:" + never.port() + "\"");
            bed.startUnready();
            assertEquals(
                    200,
                    status(bed.ask(PlatformFixture.call("book", id(1), "", "x"))),
                    "it waited, and was served");
            assertEquals(200, status(bed.ask("GET /check HTTP/1.1\r\nHost: api\r\n\r\n")));
            assertEquals(1, bed.asked.size());
        }
    }

    @Test
    void ofTwoConfigurationsReadAtOnceTheLaterOneCountsThoughTheOlderIsReadLast() throws Exception {
        bed.start();
        PlatformFixture.until(() -> bed.board.asked.contains("watch 1"), "never asked");
        Path older = Path.of(bed.file + ".older");
        assertEquals(0, new ProcessBuilder("mkfifo", older.toString()).start().waitFor());
        try (PlatformFixture.Board later = bed.new Board();
                PlatformFixture.Board wrong = bed.new Board()) {
            Thread reading = new Thread(() -> bed.node.reload(older));
            reading.start();
            try (OutputStream out =
                    Files.newOutputStream(older)) { // opens once the older reading has begun
                Files.writeString(bed.file, bed.json(later));
                bed.node.reload(bed.file);
                PlatformFixture.until(
                        () -> later.asked.contains("watch 1"), "the new address was not asked");
                out.write(bed.json(wrong).getBytes(StandardCharsets.UTF_8));
            }
            reading.join(TimeUnit.SECONDS.toMillis(10));
            passed();
            later.say(PlatformFixture.event(2, false, bed.host("s-2", "Ready")));
            later.last.close();
            PlatformFixture.until(
                    () -> later.asked.contains("watch 2") || !wrong.asked.isEmpty(),
                    "no longer followed");
            assertTrue(wrong.asked.isEmpty(), "the older configuration was let count");
        } finally {
            Files.delete(older);
        }
    }
}
