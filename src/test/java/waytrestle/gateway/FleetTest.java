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
 * The gateway before invokers written apart from it: what their ends do to clients, to others'
 * calls and to attempts.
 */
class FleetTest {
    private final List<OddInvoker> fleet = new ArrayList<>();
    private GatewayFixture bed;
    private int ids;

    @BeforeEach
    void three() throws Exception {
        for (int i = 0; i < 3; i++) {
            fleet.add(new OddInvoker(2));
        }
        bed = new GatewayFixture(fleet.stream().map(OddInvoker::address).toList());
    }

    @AfterEach
    void end() throws Exception {
        bed.close();
        for (OddInvoker each : fleet) {
            each.close();
        }
    }

    private int attempts(String function) {
        return fleet.stream().mapToInt(i -> i.attempts(function)).sum();
    }

    private CompletableFuture<HttpResponse<String>> send(String endpoint, String function) {
        return bed.http.sendAsync(
                bed.signed(endpoint, "m" + ids++, bed.soon(), GatewayFixture.body(function))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> call(String endpoint, String function) throws Exception {
        return send(endpoint, function).get();
    }

    private static String header(HttpResponse<String> r, String name) {
        return r.headers().firstValue(name).orElse("");
    }

    private String start(String from, String to) throws Exception {
        String text = bed.text(false).replace(from, to);
        bed.start(text, FinishTimeScheduler::new);
        return text;
    }

    /** Every status there is: what it becomes at the client, and after how many attempts. */
    @Test
    void everyStatusHasItsEndWithinTwoAttempts() throws Exception {
        start(
                "retries_per_s = 10 ",
                "retries_per_s = 100000 "); // every one of them here needs its second try
        Map<Integer, CompletableFuture<HttpResponse<String>>> all = new TreeMap<>();
        for (int status = 100; status < 600; status = status == 103 ? 200 : status + 1) {
            String function = "s" + status + (status % 2 == 0 ? "" : "e");
            HttpRequest.Builder request =
                    bed.signed(
                            "seat-check", "s" + status, bed.soon(), GatewayFixture.body(function));
            all.put(
                    status,
                    bed.http.sendAsync(
                            status < 200
                                    ? request.header("Prefer", "wait=1").build()
                                    : request.build(),
                            HttpResponse.BodyHandlers.ofString()));
            if (status % 50 == 0 && status > 100) {
                all.get(status).get();
            }
        }
        for (Map.Entry<Integer, CompletableFuture<HttpResponse<String>>> each : all.entrySet()) {
            int status = each.getKey();
            HttpResponse<String> r = each.getValue().get();
            String what = status + " -> " + r.statusCode() + " " + r.body();
            int tries = attempts("s" + status + (status % 2 == 0 ? "" : "e"));
            boolean full = status == 429 || status == 503;
            boolean own =
                    status >= 400 && !List.of(404, 407, 408, 421, 425).contains(status) && !full;
            int expected =
                    status == 404
                            ? 404
                            : own ? status : full ? 503 : status < 200 && status != 101 ? 504 : 502;
            assertEquals(expected, r.statusCode(), what);
            assertTrue(full || tries <= 2, what + " after " + tries);
            if (own && status < 500 || status == 501) {
                assertEquals(1, tries, what);
            }
            if (own) {
                assertEquals(
                        status % 2 == 0 ? "{\"error\":\"bad shape\"}" : "function",
                        status % 2 == 0
                                ? r.body()
                                : r.body().replaceAll(".*problem:([a-z]+)\".*", "$1"),
                        what);
                assertEquals("", header(r, "retry-after"), what);
            }
        }
    }

    @Test
    void whatIsNoAnswerIsTriedOnceElsewhereAndSaidSo() throws Exception {
        bed.start();
        for (String odd :
                List.of("html", "reset", "headers", "interim", "short", "huge", "deep", "chunks")) {
            HttpResponse<String> r = call("seat-check", odd);
            assertEquals(502, r.statusCode(), odd + r.body());
            assertEquals(2, attempts(odd), odd);
            String last = odd.equals("reset") || odd.equals("short") ? "cut" : "unreadable";
            assertTrue(
                    r.body().contains("\"attempts\":2,\"last\":\"" + last + "\""), odd + r.body());
        }
        HttpResponse<String> unsafe = call("seat-charge", "reset");
        assertEquals(502, unsafe.statusCode());
        assertTrue(
                unsafe.body().contains("\"harmless\":false")
                        && unsafe.body().contains("problem:lost"),
                unsafe.body());
        assertEquals(3, attempts("reset"), "an unsafe call that may have run is not resent");
        assertEquals(
                504,
                bed.http
                        .send(
                                bed.signed(
                                                "seat-check",
                                                "slow",
                                                bed.soon(),
                                                GatewayFixture.body("trickle"))
                                        .header("Prefer", "wait=1")
                                        .build(),
                                HttpResponse.BodyHandlers.ofString())
                        .statusCode());
    }

    @Test
    void anUnsafeCallThatFailedIsNotResentAndItsErrorIsPassedOn() throws Exception {
        bed.start();
        HttpResponse<String> r = call("seat-charge", "s500");
        assertEquals(500, r.statusCode());
        assertEquals("{\"error\":\"bad shape\"}", r.body());
        assertEquals("false", header(r, "waytrestle-harmless"));
        assertEquals(1, attempts("s500"));
        HttpResponse<String> again =
                bed.http.send(
                        bed.signed("seat-charge", "m0", bed.soon(), GatewayFixture.body("s500"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        assertEquals(r.body(), again.body(), "the same id is given the same end");
        assertEquals(1, attempts("s500"));
    }

    @Test
    void aSecondAnswerReachesNobody() throws Exception {
        bed.start();
        for (int i = 0; i < 20; i++) {
            assertEquals("first", call("seat-check", "twice").body());
            assertEquals("ran", call("seat-check", "f").body());
        }
        assertEquals(20, attempts("f"));
    }

    @Test
    void aFunctionThatIsKnownNowhereEndsIn404WithinTwoTriesWhateverMissesMean() throws Exception {
        for (String misses : new String[] {"miss_answers = false", "miss_answers = true"}) {
            start("miss_answers = false", misses);
            int before = attempts("s404");
            HttpResponse<String> r = call("seat-check", "s404");
            assertEquals(404, r.statusCode(), r.body());
            assertTrue(r.body().contains("no-such-function"), r.body());
            assertEquals("", header(r, "retry-after"));
            assertTrue(attempts("s404") - before <= 2, misses + " " + (attempts("s404") - before));
            bed.gateway.kill();
            bed.gateway.join(5_000);
        }
        bed.gateway = null;
    }

    @Test
    void aFunctionThatFailsEverywhereIsAnsweredForAndProbedUntilItHeals() throws Exception {
        fleet.forEach(i -> i.healsAt(Long.MAX_VALUE));
        bed.start();
        int failing = 0;
        for (int i = 0; i < 40; i++) {
            HttpResponse<String> r = call("seat-check", "heals");
            assertEquals(500, r.statusCode(), r.body());
            failing += r.body().contains("function-failing") ? 1 : 0;
            if (r.body().contains("function-failing")) {
                assertFalse(
                        r.body().contains("not well"), "what another call was told stays its own");
                assertTrue(
                        header(r, "retry-after").matches("\\d+")
                                && r.body().contains("\"harmless\":true"),
                        r.body());
            }
            assertEquals("ran", call("seat-check", "f").body(), "others go on as before");
        }
        assertTrue(failing >= 20, failing + " of 40");
        assertTrue(attempts("heals") <= 20, attempts("heals") + " attempts");
        assertEquals(40, attempts("f"));
        fleet.forEach(i -> i.healsAt(0));
        GatewayFixture.until(
                () -> {
                    try {
                        return call("seat-check", "heals").statusCode() == 200;
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                },
                "the function's return");
        assertEquals(200, call("seat-check", "heals").statusCode());
        assertTrue(
                bed.page("/metrics").body().contains("waytrestle_invokers_ejected 0"),
                "no invoker was blamed");
    }

    @Test
    void anInvokerThatAloneErrsQuicklyLosesItsCallsAndComesBack() throws Exception {
        bed.start();
        fleet.get(0).failAll(500);
        int failed = 0;
        for (int i = 0; i < 200; i++) {
            failed += call("seat-check", "f" + i % 20).statusCode() == 200 ? 0 : 1;
        }
        assertEquals(0, failed);
        int first = 0;
        for (int i = 0; i < 20; i++) {
            first += fleet.get(0).attempts("f" + i);
        }
        assertTrue(first > 0 && first <= 20, first + " calls to the one that errs");
        String metrics = bed.page("/metrics").body();
        assertTrue(metrics.contains("waytrestle_ejections_total 1"), metrics);
        assertTrue(metrics.contains("waytrestle_functions_blamed 0"), metrics);
        assertTrue(
                metrics.contains(
                        "waytrestle_replies_total{invoker=\""
                                + fleet.get(0).address()
                                + "\",reply=\"500\"}"));
    }

    /**
     * The promise that an answer says how its copy stood, kept by nobody, by a third, and with
     * nonsense besides.
     */
    @Test
    void runTimesAreLearnedWhateverInvokersSayOfThemselves() throws Exception {
        OddInvoker.Says[][] fleets = {
            {OddInvoker.Says.NOTHING, OddInvoker.Says.NOTHING, OddInvoker.Says.NOTHING},
            {OddInvoker.Says.ALL, OddInvoker.Says.NOTHING, OddInvoker.Says.NONSENSE},
            {OddInvoker.Says.NONSENSE, OddInvoker.Says.NONSENSE, OddInvoker.Says.NONSENSE}
        };
        for (OddInvoker.Says[] says : fleets) {
            for (int i = 0; i < 3; i++) {
                fleet.get(i).says(says[i]);
            }
            bed.start();
            for (int i = 0;
                    i < 10;
                    i++) { // by one before any answer, the first guess stands for the run
                assertEquals(200, call("seat-check", "g").statusCode());
            }
            int served = 0;
            for (int round = 0; round < 30; round++) {
                List<CompletableFuture<HttpResponse<String>>> open = new ArrayList<>();
                for (int i = 0; i < 20; i++) {
                    open.add(send("seat-check", "g"));
                }
                for (CompletableFuture<HttpResponse<String>> each : open) {
                    served += each.get().statusCode() == 200 ? 1 : 0;
                }
            }
            assertTrue(served >= 594, List.of(says) + ": " + served + " of 600");
            String metrics = bed.page("/metrics").body();
            boolean untold =
                    metrics.lines()
                            .anyMatch(
                                    l -> l.matches(".*promise=\"start\",seen=\"untold\"} [1-9].*"));
            assertTrue(untold || says[0] != OddInvoker.Says.NOTHING, metrics);
            bed.gateway.kill();
            bed.gateway.join(5_000);
            bed.gateway = null;
        }
    }

    @Test
    void theKserveFrontPassesTheModelsErrorOnInTheProtocolsForm() throws Exception {
        String key = "a-bearer-key";
        String hash =
                HexFormat.of()
                        .formatHex(MessageDigest.getInstance("SHA-256").digest(key.getBytes()));
        start("8f0e3bd1c1ebc5b3a8a2f1f2a4e7d6c9b0a1928374655647382910afbecd1234", hash);
        String body =
                "{\"inputs\":[{\"name\":\"x\",\"datatype\":\"INT32\",\"shape\":[1],\"data\":[1]}]}";
        for (String[] each :
                new String[][] {
                    {"s400", "400", "{\"error\":\"bad shape\"}"},
                    {"s422e", "422", "{\"error\":\"the model answered 422\"}"},
                    {"s500", "500", "{\"error\":\"bad shape\"}"}
                }) {
            HttpResponse<String> r = kserve("/v2/models/" + each[0] + "/infer", key, body);
            assertEquals(each[1], Integer.toString(r.statusCode()));
            assertEquals(each[2], r.body());
        }
        HttpResponse<String> html = kserve("/v2/models/html/infer", key, body);
        assertEquals(502, html.statusCode());
        assertTrue(
                html.body().startsWith("{\"error\":\"what the invokers sent was no answer\""),
                html.body());
        for (String path :
                new String[] {
                    "/v2/models/f/infer",
                    "/v2/models/f",
                    "/v2/models/f/ready",
                    "/v2/repository/index"
                }) {
            HttpResponse<String> r =
                    kserve(
                            path,
                            "another",
                            path.endsWith("infer") || path.endsWith("index") ? body : null);
            assertEquals(401, r.statusCode(), path);
            assertTrue(r.body().startsWith("{\"error\":"), path + r.body());
        }
        assertEquals(200, kserve("/v2/models/f", key, null).statusCode());
    }

    private HttpResponse<String> kserve(String path, String key, String body) throws Exception {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + bed.gateway.port() + path))
                        .header("Authorization", "Bearer " + key);
        return bed.http.send(
                body == null
                        ? request.build()
                        : request.POST(HttpRequest.BodyPublishers.ofString(body)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void theAccessLogTellsEachCallOnceAndHidesItsId(@TempDir Path dir) throws Exception {
        Path log = dir.resolve("access.jsonl");
        bed.start(
                bed.text(false) + "\n[access_log]\nfile = \"" + log + "\"\n",
                FinishTimeScheduler::new);
        call("seat-check", "f");
        call("seat-check", "s500");
        Path moved = dir.resolve("access.1");
        GatewayFixture.until(() -> lines(log) == 2, "two lines");
        Files.move(log, moved);
        assertTrue(bed.gateway.reload());
        GatewayFixture.until(() -> Files.exists(log), "the new file");
        call("seat-check", "s400");
        bed.gateway.stop();
        bed.gateway.join(10_000);
        List<String> all = new ArrayList<>(Files.readAllLines(moved));
        all.addAll(Files.readAllLines(log));
        assertEquals(3, all.size(), all.toString());
        assertTrue(
                all.get(0).contains("\"end\":\"served\"")
                        && all.get(0).contains("\"said\":\"200\""),
                all.get(0));
        assertTrue(
                all.get(0).contains("\"estimate_us\":") && !all.get(0).contains("m0\""),
                all.get(0));
        assertTrue(all.get(0).contains(AccessLine.hash("/hooks/seat-check m0")), all.get(0));
        assertTrue(
                all.get(1)
                        .matches(".*\"reason\":\"function\".*\"said\":\"500\".*\"said\":\"500\".*"),
                all.get(1));
        assertTrue(all.get(2).contains("\"said\":\"400\""), all.get(2));
    }

    private static int lines(Path file) {
        try {
            return Files.exists(file) ? Files.readAllLines(file).size() : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    @Test
    void secretsInAFileAreChangedWithoutLosingACall(@TempDir Path dir) throws Exception {
        String other = "whsec_" + Base64.getEncoder().encodeToString(new byte[32]);
        Path file = dir.resolve("secrets");
        Files.writeString(
                file, "# the second while it is changed\n" + GatewayFixture.SECRET + "\n");
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
        String text =
                bed.text(false)
                        .replace(
                                "secrets = [\""
                                        + GatewayFixture.SECRET
                                        + "\"]  # several while one is changed; whpk_ for Ed25519",
                                "secrets_file = \"" + file + "\"");
        bed.start(text, FinishTimeScheduler::new);
        assertEquals(200, call("seat-check", "f").statusCode());
        Files.writeString(file, "nonsense\n");
        assertFalse(bed.gateway.reload(), "a file with a fault changes nothing");
        assertEquals(200, call("seat-check", "f").statusCode());
        CompletableFuture<HttpResponse<String>> under = send("seat-check", "f");
        GatewayFixture.until(() -> attempts("f") == 3, "the call that is under way");
        Files.writeString(file, other + "\n");
        assertTrue(bed.gateway.reload());
        assertEquals(200, under.get().statusCode());
        GatewayFixture.until(
                () -> {
                    try {
                        return call("seat-check", "f").statusCode() == 401;
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                },
                "the old secret's end");
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-r--r--"));
        ConfigException wrong =
                Assertions.assertThrows(
                        ConfigException.class,
                        () -> TomlFile.parse(text, "x.toml", GatewayConfig::from));
        assertTrue(wrong.errors().get(0).contains("chmod 600"), wrong.errors().toString());
    }
}
