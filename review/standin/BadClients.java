import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Usual clients call a controller while bad clients ask at full speed. The controller has to stay up
 * and to answer the usual clients.
 */
final class BadClients {
    private static final int INVOKERS = 12;
    private static final int SOCKETS = 1024;
    private static final int USUAL_CONNECTIONS = 4;

    /** What most of the bad clients send, at full speed. */
    private enum Kind {
        /** Ids that no invoker knows, new ones each time, with little time left. */
        UNKNOWN_IDS(null) {
            @Override
            void flood(BadClients run, ControllerRun controller) {
                run.badClient(controller, 0, function, 30, "load_ms:60000", "x");
            }
        },
        /** The same again as soon as it is turned away, with a deadline out of range. */
        SAME_AGAIN("00000000000bad01") {
            @Override
            void flood(BadClients run, ControllerRun controller) {
                run.badClient(controller, 0, function, 50_000, "load_ms:60000", "x");
            }
        };

        /** The function that is asked for, null for a new one each time. */
        final String function;

        Kind(String function) {
            this.function = function;
        }

        abstract void flood(BadClients run, ControllerRun controller);
    }

    private final Record record;
    private final Kind kind;
    private final AtomicLong badSent = new AtomicLong();
    private final AtomicLongArray badStatus = new AtomicLongArray(1000);
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong notServed = new AtomicLong();
    private final AtomicLong unanswered = new AtomicLong();
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong orders = new AtomicLong();
    private volatile boolean ended;

    private BadClients(Record record, Kind kind) {
        this.kind = kind;
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        int result = 2;
        try (Record record = new Record(Path.of(args[1]))) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            long millis = Long.parseLong(args[2]);
            result = new BadClients(record, Kind.valueOf(args[0])).run(trouble, millis);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run(boolean trouble, long millis) throws Exception {
        Path folder = Path.of(System.getProperty("folder"));
        List<String> known = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            known.add(String.format("7f3a9c21e0b4%04x", i));
        }
        List<Invoker> invokers = new ArrayList<>();
        for (int i = 0; i < INVOKERS; i++) {
            invokers.add(new Invoker("s-" + i, 0, Set.copyOf(known), 100, 800,
                    (invoker, what, request) ->
                            (what.equals("order") ? orders : calls).incrementAndGet()));
        }
        Board board = new Board();
        board.tell(true, invokers.stream()
                .map(invoker -> Board.host(invoker.id, invoker.address(), "Ready", 0))
                .toArray(String[]::new));
        try (ControllerRun controller = new ControllerRun(folder, "n1")) {
            controller.writeConfig(board, ControllerRun.settings(1), SOCKETS, board.known());
            controller.start();
            if (!controller.awaitReady(30_000)) {
                record.say("could not run: the controller was not ready in 30 s");
                return 2;
            }
            for (int i = 0; i < USUAL_CONNECTIONS; i++) {
                Board.daemon(() -> usualClient(controller, known));
            }
            Thread.sleep(3000);
            if (trouble) {
                startBadClients(controller);
            }
            long until = System.currentTimeMillis() + millis;
            while (System.currentTimeMillis() < until && controller.isAlive()) {
                Thread.sleep(500);
                report(controller);
            }
            boolean crashed = !controller.isAlive();
            ended = true;
            report(controller);
            for (String line : controller.logTail(40)) {
                record.line("log: %s", line);
            }
            if (crashed) {
                record.say("BROKEN: the controller ended by itself with code %d, after %d requests"
                        + " of bad clients; %d requests of usual clients got no answer",
                        controller.exitCode(), badSent.get(), unanswered.get());
                return 1;
            }
            if (unanswered.get() > 0) {
                record.say("BROKEN: %d requests of usual clients got no answer", unanswered.get());
                return 1;
            }
            record.say("held: %d requests of bad clients; of usual clients %d served, %d refused"
                    + " or failed", badSent.get(), served.get(), notServed.get());
            return served.get() > 0 ? 0 : 2;
        }
    }

    private void startBadClients(ControllerRun controller) {
        String largest = "x".repeat(16_384);
        for (int i = 0; i < 100; i++) {
            Board.daemon(() -> kind.flood(this, controller));
        }
        for (int i = 0; i < 200; i++) {
            Board.daemon(() -> badClient(controller, 35_000, kind.function, 5000, "load_ms:800", largest));
        }
    }

    private void report(ControllerRun controller) {
        record.line("bad clients: sent %d, got 503 %d 502 %d 200 %d; usual clients: served %d,"
                        + " refused or failed %d, no answer %d; invokers got %d calls %d orders;"
                        + " controller %d MB",
                badSent.get(), badStatus.get(503), badStatus.get(502), badStatus.get(200),
                served.get(), notServed.get(), unanswered.get(), calls.get(), orders.get(),
                controller.residentMb());
    }

    /** Asks at full speed on one connection, and reads whatever it is sent. */
    private void badClient(
            ControllerRun controller, long waitMillis, String function, int deadline, String extras,
            String body) {
        pause(waitMillis);
        while (!ended) {
            try (Client client = new Client(controller.port, 6000)) {
                Http answer = Http.NONE;
                while (!ended && answer != null) {
                    badSent.incrementAndGet();
                    client.send(function == null ? Client.hex() : function, "free-slots",
                            Client.hex(), deadline, extras, body);
                    answer = client.receive();
                    if (answer != null) {
                        badStatus.incrementAndGet(answer.status());
                    }
                }
            } catch (IOException e) {
                pause(20);
            }
        }
    }

    /** Asks for what invokers know, some times a second; a connection without an answer counts. */
    private void usualClient(ControllerRun controller, List<String> known) {
        int turn = 0;
        while (!ended && controller.isAlive()) {
            try (Client client = new Client(controller.port, 5600)) {
                while (!ended) {
                    String id = Client.hex();
                    client.send(known.get(turn++ % known.size()), "free-slots", id, 5000,
                            "memory_mb:512;lanes:4;load_ms:800", "x");
                    Http answer = receiveOrNull(client);
                    if (answer == null) {
                        if (!ended) {
                            unanswered.incrementAndGet();
                            record.line("usual client: no answer to %s", id);
                        }
                        break;
                    }
                    (answer.status() == 200 ? served : notServed).incrementAndGet();
                    pause(50);
                }
            } catch (IOException e) {
                pause(100);
            }
        }
    }

    private static Http receiveOrNull(Client client) {
        try {
            return client.receive();
        } catch (IOException e) {
            return null;
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
