package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import waytrestle.config.platform.PlatformConfig;

/** The platform's controller over sockets: what crosses them, message by message. */
class PlatformControllerTest {
    private PlatformFixture bed;

    @BeforeEach
    void start() throws Exception {
        bed = new PlatformFixture().start();
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

    @Test
    void aCallIsPassedOnUnchangedAndItsAnswerToo() throws Exception {
        assertTrue(bed.ask("GET /check HTTP/1.1\r\nHost: api\r\n\r\n").startsWith("HTTP/1.1 200 "));
        String answer =
                bed.ask(
                        PlatformFixture.call(
                                "read",
                                id(1),
                                "X-Extras: memory_mb:512;lanes:2;load_ms:640\r\n",
                                "a b\nc"));
        assertEquals(200, status(answer));
        assertTrue(answer.endsWith("\r\n\r\ndone"), answer);
        assertEquals(200, status(bed.ask(PlatformFixture.call("book", id(2), "", ""))));
        String first = bed.asked.get(0);
        assertTrue(
                first.matches(
                        "(?s)POST /fetch/read\\|host=.*\\|x-txn="
                                + id(1)
                                + "\\|x-name=7f3a9c21e0b4d655\\|x-limit-ms=29\\d\\d\\|content-length=5\\|a"
                                + " b\n"
                                + "c"),
                first);
        String second = bed.asked.get(1);
        assertTrue(
                second.startsWith("GET /fetch/book|") && !second.contains("content-length"),
                second);
    }

    @Test
    void whatNoClientCouldMeanIsTurnedAwayAndReachesNoInvoker() throws Exception {
        String good = PlatformFixture.call("read", id(1), "", "x");
        String[][] cases = {
            {"X-Class: read", "X-Class: none"},
            {"X-Class: read\r\n", ""},
            {"X-Class: read", "X-Class: read\r\nX-Class: book"},
            {id(1), "9B1F03AA5C7E2D41"},
            {id(1), "12"},
            {"X-Correlation-Id: " + id(1) + "\r\n", ""},
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
        for (String[] each : cases) {
            int status = status(bed.ask(good.replace(each[0], each[1])));
            assertTrue(
                    status >= 400 && status < 500 && status != 429,
                    each[1] + " was answered " + status);
        }
        assertEquals(0, bed.asked.size());
        assertEquals(200, status(bed.ask(good)), "the form that all cases spoil is good itself");
    }

    @Test
    void anIdThatIsOpenIsNotTakenTwice() throws Exception {
        AtomicInteger come = new AtomicInteger();
        bed.script =
                e -> {
                    come.incrementAndGet();
                    bed.loop.after(300_000, () -> e.answer(200, "", "late".getBytes()));
                };
        try (Socket s = bed.socket()) {
            s.getOutputStream().write(PlatformFixture.call("book", id(1), "", "x").getBytes());
            PlatformFixture.until(() -> come.get() == 1, "the first never came");
            assertEquals(409, status(bed.ask(PlatformFixture.call("book", id(1), "", "y"))));
            assertEquals(200, status(PlatformFixture.answer(s)));
        }
        assertEquals(
                200,
                status(bed.ask(PlatformFixture.call("book", id(1), "", "x"))),
                "open no more, so taken");
    }

    @Test
    void anIdleConnectionThatSpokeOrEndedIsNotUsedWhileAMessageIsBeingRead() throws Exception {
        bed.script =
                e -> {
                    e.answer(200, "", "done".getBytes(), "Connection", "keep-alive");
                    if (bed.asked.size() == 1) {
                        bed.loop.after(0, () -> bed.invoker.closeIdle());
                    }
                };
        try (Socket s = bed.socket()) {
            for (int i = 1;
                    i <= 20;
                    i++) { // bodies: what is read of them must not be touched by the look
                s.getOutputStream()
                        .write(PlatformFixture.call("book", id(i), "", "body " + i).getBytes());
                assertEquals(200, status(PlatformFixture.answer(s)), "call " + i);
                assertTrue(bed.asked.get(i - 1).endsWith("|body " + i), bed.asked.get(i - 1));
                Thread.sleep(i == 1 ? 50 : 0);
            }
        }
    }

    @Test
    void aSpoiltAnswerFailsAnUnsafeCallAndASafeOneIsResent() throws Exception {
        bed.script =
                e -> {
                    if (bed.asked.size() <= 2) {
                        e.answer(503, "", "no mark, no proof".getBytes());
                    } else {
                        e.answer(200, "", "done".getBytes());
                    }
                };
        int unsafe = status(bed.ask(PlatformFixture.call("book", id(1), "", "x")));
        assertTrue(unsafe >= 500 && unsafe != 503, "it may have run: " + unsafe);
        assertEquals(1, bed.asked.size());
        bed.board.say(PlatformFixture.event(2, false, bed.host("s-2", "Ready")));
        Thread.sleep(200);
        assertEquals(200, status(bed.ask(PlatformFixture.call("read", id(2), "", "x"))));
        assertEquals(3, bed.asked.size());
    }

    @Test
    void aRefusalComesAtOnceAndSaysWhenToComeBack() throws Exception {
        bed.script =
                e -> {
                    if (!e.message().method().equals("PUT")) {
                        e.answer(404, "", new byte[0]);
                    }
                };
        long before = System.nanoTime();
        String answer =
                bed.ask(PlatformFixture.call("book", id(1), "X-Extras: load_ms:9000\r\n", "x"));
        assertEquals(
                503,
                status(answer),
                "the load outlasts the call, and a miss proves that nothing ran");
        assertTrue(answer.contains("X-Pushback-Ms: 2000\r\n"), answer);
        assertTrue(System.nanoTime() - before < 2_000_000_000L, "not held until its time is up");
        PlatformFixture.until(() -> bed.asked.size() > 1, "nothing was ordered");
        assertTrue(
                bed.asked.get(1).startsWith("PUT /fetch/7f3a9c21e0b4d655/1|"),
                "ordered for those who come back");
    }

    @Test
    void theBoardIsFollowedOverBreaksAndToAnotherAddress() throws Exception {
        PlatformFixture.until(() -> bed.board.asked.contains("watch 1"), "never asked");
        bed.board.say(PlatformFixture.event(2, false, bed.host("s-2", "Ready")));
        bed.board.say(PlatformFixture.event(2, false, bed.host("s-2", "Ready")));
        bed.board.last.getOutputStream().write("{\"rev\":3,\"po".getBytes(StandardCharsets.UTF_8));
        Thread.sleep(100);
        bed.board.last.close();
        PlatformFixture.until(
                () -> bed.board.asked.contains("watch 2"),
                "not asked again from the last whole event");
        try (PlatformFixture.Board other = bed.new Board()) {
            Files.writeString(bed.file, bed.json(other));
            bed.node.reload(bed.file);
            PlatformFixture.until(
                    () -> other.asked.contains("watch 2"), "the new address was not asked");
            Files.writeString(bed.file, "{\"board\":");
            Thread reading = new Thread(() -> bed.node.reload(bed.file));
            reading.start();
            assertEquals(
                    200,
                    status(bed.ask(PlatformFixture.call("read", id(1), "", "x"))),
                    "a torn file changes nothing");
            try (PlatformFixture.Board third = bed.new Board()) {
                Files.writeString(bed.file, bed.json(third));
                PlatformFixture.until(
                        () -> third.asked.contains("watch 2"), "once whole it is read");
                reading.join();
            }
        }
    }

    @Test
    void afterTermCallsAreStillTakenForAWhileAndAllAreAnswered() throws Exception {
        bed.script = e -> bed.loop.after(900_000, () -> e.answer(200, "", "done".getBytes()));
        try (Socket s = bed.socket()) {
            bed.node.stop();
            Thread.sleep(150);
            s.getOutputStream().write(PlatformFixture.call("book", id(1), "", "x").getBytes());
            try (Socket another = bed.socket()) {
                another.getOutputStream()
                        .write(PlatformFixture.call("read", id(2), "", "x").getBytes());
                assertEquals(200, status(PlatformFixture.answer(another)));
                assertEquals(200, status(PlatformFixture.answer(s)));
            }
        }
        assertEquals(0, bed.node.join(10_000));
        assertThrows(IOException.class, () -> bed.socket(), "nobody listens any more");
    }

    @Test
    void silentConnectionsGiveWayToThoseThatAsk() throws Exception {
        bed.close();
        bed = new PlatformFixture();
        bed.sockets = "64"; // 8 for clients
        bed.start();
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            silent.add(bed.socket());
        }
        Thread.sleep(400);
        for (int i = 0; i < 6; i++) {
            assertEquals(200, status(bed.ask(PlatformFixture.call("read", id(i), "", "x"))));
        }
        for (Socket s : silent) {
            String said =
                    new String(
                            s.getInputStream().readAllBytes(),
                            StandardCharsets.US_ASCII); // throws if not ended
            assertTrue(said.isEmpty() || said.startsWith("HTTP/1.1 503 "), said);
            s.close();
        }
    }

    @Test
    void aWrongConfigurationIsNamedByFileAndField() throws Exception {
        String good = Files.readString(bed.file);
        String[][] cases = {
            {"\"board\":\"127.0.0.1", "\"board\":\"localhost"},
            {"8c1f30d27a5be964", "seed"},
            {"\"sockets\":256", "\"sockets\":\"many\""},
            {"\"health\":\"Ready\"", "\"health\":\"Well\""}
        };
        String[] named = {"board", "seed", "sockets", "health"};
        for (int i = 0; i < cases.length; i++) {
            assertTrue(good.contains(cases[i][0]), cases[i][0]);
            Files.writeString(bed.file, good.replace(cases[i][0], cases[i][1]));
            String said =
                    assertThrows(PlatformConfig.Wrong.class, () -> PlatformConfig.read(bed.file))
                            .getMessage();
            assertTrue(said.startsWith(bed.file + ": ") && said.contains(named[i]), said);
        }
        Files.writeString(bed.file, good);
        assertFalse(PlatformConfig.read(bed.file).known().isEmpty());
    }

    private Map<String, Integer> tables() throws Exception {
        CompletableFuture<Map<String, Integer>> told = new CompletableFuture<>();
        bed.node.tables(told::complete);
        return told.get(10, TimeUnit.SECONDS);
    }

    @Test
    void thousandsOfInvokersAndClientsComeAndGoAndEveryTableIsAsItWas() throws Exception {
        assertEquals(200, status(bed.ask(PlatformFixture.call("read", id(0), "", "x"))));
        int number = 1;
        Map<String, Integer> first = null;
        for (int round = 0; round < 40; round++) {
            String[] come = new String[100], go = new String[100];
            for (int i = 0; i < 100; i++) {
                String host = "t-" + round + "-" + i;
                come[i] =
                        bed.host(host, "Ready")
                                .replace(
                                        "\"born_ms\":0",
                                        "\"born_ms\":" + System.currentTimeMillis());
                go[i] = bed.host(host, "Gone");
            }
            bed.board.say(PlatformFixture.event(++number, false, come));
            for (int i = 0; i < 10; i++) {
                assertEquals(
                        200,
                        status(
                                bed.ask(
                                        PlatformFixture.call(
                                                "read", id(1 + round * 10 + i), "", "x"))));
            }
            bed.board.say(PlatformFixture.event(++number, false, go));
            PlatformFixture.until(
                    () -> {
                        try {
                            Map<String, Integer> now = tables();
                            return now.get("addresses") == 1
                                    && now.get("clients") == 0
                                    && now.get("calls") == 0;
                        } catch (Exception e) {
                            throw new AssertionError(e);
                        }
                    },
                    "not all that came has gone: " + tables());
            if (round == 9) {
                first = tables();
            }
        }
        Map<String, Integer> last = tables();
        for (String each : List.of("ids", "addresses", "starts", "ways")) {
            assertEquals(first.get(each), last.get(each), each);
        }
        PlatformFixture.until(
                () -> {
                    try {
                        return tables().get("timers") <= 30;
                    } catch (Exception e) {
                        throw new AssertionError(e);
                    }
                },
                "timers of ended calls last for their three seconds, no longer");
    }

    @Test
    void whateverTheFieldsOfACallHoldItIsAnsweredAndNoInvokerIsAskedForWhatNobodyMeant()
            throws Exception {
        Random random = new Random(7);
        String[] fields = {
            "X-Class",
            "X-Correlation-Id",
            "X-Deadline-Ms",
            "X-Extras",
            "X-Resent",
            "X-Estimate-Ms",
            "Host"
        };
        String[] values = {
            "",
            "read",
            "book",
            "0",
            "-0",
            "1e9",
            "NaN",
            "Infinity",
            "9".repeat(400),
            ";",
            ":",
            "lanes:2;lanes:",
            "lanes:2;;",
            "memory_mb:0x10",
            "load_ms:1.5.2",
            "9b1f03aa5c7e2d4g",
            "\u00e9",
            "%00",
            "1, 1",
            " 1 ",
            "true"
        };
        for (int i = 0; i < 300; i++) {
            StringBuilder head =
                    new StringBuilder(
                            "POST /do/"
                                    + (random.nextInt(4) > 0 ? "7f3a9c21e0b4d655" : "..%2f" + i)
                                    + (random.nextInt(4) > 0 ? "/call" : "/")
                                    + " HTTP/1.1\r\n");
            for (String field : fields) {
                for (int n = random.nextInt(8) == 0 ? 2 : random.nextInt(10) == 0 ? 0 : 1;
                        n > 0;
                        n--) {
                    String good =
                            switch (field) {
                                case "X-Class" -> "read";
                                case "X-Correlation-Id" -> id(5_000 + i);
                                case "X-Deadline-Ms" -> "2000";
                                case "X-Extras" -> "lanes:2";
                                case "Host" -> "api";
                                default -> "1";
                            };
                    head.append(field)
                            .append(": ")
                            .append(
                                    random.nextInt(3) > 0
                                            ? good
                                            : values[random.nextInt(values.length)])
                            .append("\r\n");
                }
            }
            int before = bed.asked.size();
            String answer = bed.ask(head + "Content-Length: 1\r\n\r\nx");
            int status = status(answer);
            assertTrue(
                    status == 200 || status >= 400 && status < 500 && status != 429, head + answer);
            assertEquals(before + (status == 200 ? 1 : 0), bed.asked.size(), head.toString());
        }
        assertEquals(200, status(bed.ask(PlatformFixture.call("read", id(9_999), "", "x"))));
    }
}
