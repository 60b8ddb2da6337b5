package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * The same controller under two customers' settings: each one's names, limits and times are obeyed,
 * and not the other's.
 */
class TwoCustomersTest {
    private static final UnaryOperator<String> KIOSK =
            s ->
                    s.replace("\"name\":\"read\"", "\"name\":\"scan\"")
                            .replace("\"name\":\"book\"", "\"name\":\"pay\"")
                            .replace("\"deadline_us\":3000000", "\"deadline_us\":100000")
                            .replace("\"max_attempts\":5", "\"max_attempts\":2")
                            .replace("\"max_open\":1000", "\"max_open\":1")
                            .replace(
                                    "\"max_retry_after_us\":2000000",
                                    "\"max_retry_after_us\":300000");
    private static final UnaryOperator<String> ATLAS =
            s ->
                    s.replace("\"name\":\"read\"", "\"name\":\"render\"")
                            .replace("\"name\":\"book\"", "\"name\":\"commit\"")
                            .replace("\"max_attempts\":5", "\"max_attempts\":4")
                            .replace("\"retry_after\":true", "\"retry_after\":false");

    /** What one customer's settings lead to. */
    private record Seen(
            int known,
            int other,
            int longDeadline,
            int attempts,
            int whileOneIsOpen,
            Set<String> comeBack) {}

    private static String id(int n) {
        return "%016x".formatted(0x5b1f03aa5c7e0000L + n);
    }

    private static int status(String answer) {
        return Integer.parseInt(answer.split(" ")[1]);
    }

    private static Seen under(
            UnaryOperator<String> customer, String safe, String unsafe, String others)
            throws Exception {
        try (PlatformFixture bed = new PlatformFixture()) {
            List<String> hosts = new ArrayList<>();
            for (int i = 1; i <= 8; i++) {
                hosts.add(bed.host("s-" + i, "Ready"));
            }
            bed.edit =
                    customer.andThen(
                                    s ->
                                            s.replace(
                                                    PlatformFixture.event(
                                                            1, true, bed.host("s-1", "Ready")),
                                                    PlatformFixture.event(
                                                            1, true, hosts.toArray(String[]::new))))
                            ::apply;
            bed.start();
            String short1 = "X-Deadline-Ms: 900", as = "X-Deadline-Ms: 3000";
            int known =
                    status(bed.ask(PlatformFixture.call(safe, id(1), "", "x").replace(as, short1)));
            int other =
                    status(
                            bed.ask(
                                    PlatformFixture.call(others, id(2), "", "x")
                                            .replace(as, short1)));
            int longDeadline = status(bed.ask(PlatformFixture.call(safe, id(3), "", "x")));
            bed.asked.clear();
            bed.script =
                    e ->
                            e.answer(
                                    503,
                                    "",
                                    "no mark"
                                            .getBytes()); // may have run: safe calls are sent again
            bed.ask(PlatformFixture.call(safe, id(4), "", "x").replace(as, short1));
            int attempts = bed.asked.size();
            bed.script = e -> bed.loop.after(400_000, () -> e.answer(200, "", "done".getBytes()));
            int whileOneIsOpen;
            try (Socket s = bed.socket()) {
                int before = bed.asked.size();
                s.getOutputStream()
                        .write(
                                PlatformFixture.call(unsafe, id(5), "", "x")
                                        .replace(as, short1)
                                        .getBytes());
                PlatformFixture.until(() -> bed.asked.size() > before, "it was not passed on");
                whileOneIsOpen =
                        status(
                                bed.ask(
                                        PlatformFixture.call(safe, id(6), "", "x")
                                                .replace(as, short1)));
                PlatformFixture.answer(s);
            }
            bed.script =
                    e -> {
                        if (!e.message().method().equals("PUT")) {
                            e.answer(404, "", new byte[0]);
                        }
                    };
            Set<String> comeBack = new TreeSet<>(); // of refusals for a load that outlasts the call
            for (int i = 0; i < 20; i++) {
                String refused =
                        bed.ask(
                                PlatformFixture.call(
                                                unsafe,
                                                id(10 + i),
                                                "X-Extras: load_ms:9000\r\n",
                                                "x")
                                        .replace(as, short1)
                                        .replace("7f3a9c21e0b4d655", "00000000000000aa"));
                assertEquals(503, status(refused));
                int at = refused.indexOf("X-Pushback-Ms: ");
                if (at >= 0) {
                    comeBack.add(refused.substring(at + 15, refused.indexOf("\r", at)));
                }
            }
            return new Seen(known, other, longDeadline, attempts, whileOneIsOpen, comeBack);
        }
    }

    @Test
    void eachCustomersSettingsAreObeyed() throws Exception {
        Seen kiosk = under(KIOSK, "scan", "pay", "render");
        Seen atlas = under(ATLAS, "render", "commit", "scan");
        assertEquals(new Seen(200, 400, 400, 2, 429, Set.of("300")), kiosk);
        assertEquals(new Seen(200, 400, 200, 4, 200, Set.of()), atlas);
    }
}
