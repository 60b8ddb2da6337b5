import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Some good answers of invokers bring more than belongs to them: some milliseconds after the answer
 * a part of a second copy follows.
 */
final class LateNoise {
    private static final int INVOKERS = 12;
    private static final int CONNECTIONS = 40;
    private static final int SOCKETS = 1024;

    /** One answer in so many has noise after it. */
    private static final int ONE_IN = 10;

    private static final long LATE_MILLIS = 5;

    /** Bytes at the end of the second copy that do not come. */
    private static final int MISSING_BYTES = 2;

    /** Functions that are asked for; this share gives way to new ones every so many seconds. */
    private static final int FUNCTIONS = 200;
    private static final double GIVING_WAY = 0.3;
    private static final int SPELL_SECONDS = 16;

    private final Record record;
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong notServed = new AtomicLong();
    private final AtomicLong unanswered = new AtomicLong();
    private final AtomicLong foreign = new AtomicLong();
    private final AtomicLong noises = new AtomicLong();
    private final AtomicLong neverRan = new AtomicLong();
    private final AtomicLong twice = new AtomicLong();
    private final Map<String, String> ran = new ConcurrentHashMap<>();
    private final boolean allAnswers;
    private volatile boolean ended;

    /** allAnswers: noise follows any answer to a call, else only those that say 200. */
    private LateNoise(Record record, boolean allAnswers) {
        this.record = record;
        this.allAnswers = allAnswers;
    }

    /** An invoker behind which some answers get noise. */
    private final class NoisyInvoker extends Invoker {
        private final boolean noisy;
        private final Random random;

        NoisyInvoker(int number, Set<String> functions, boolean noisy) throws IOException {
            super("s-" + number, 0, functions, 40, 800, LateNoise.this::came);
            this.noisy = noisy;
            this.random = new Random(number);
        }

        @Override
        void after(Http request, byte[] answer, OutputStream out)
                throws IOException, InterruptedException {
            boolean call = request.headers().containsKey("x-txn");
            boolean chosen = call && (allAnswers || answer[9] == '2');
            if (!noisy || !chosen || random.nextInt(ONE_IN) != 0) {
                return;
            }
            Thread.sleep(LATE_MILLIS);
            out.write(answer, 0, answer.length - MISSING_BYTES);
            out.flush();
            noises.incrementAndGet();
            record.line("%s: a part of a second copy after the answer %s to %s", id,
                    new String(answer, 9, 3, StandardCharsets.ISO_8859_1),
                    request.header("x-txn"));
        }
    }

    public static void main(String[] args) throws Exception {
        int result = 2;
        try (Record record = new Record(Path.of(args[0]))) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            result = new LateNoise(record, "all".equals(System.getenv("ANSWERS")))
                    .run(trouble, Long.parseLong(args[1]));
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run(boolean trouble, long millis) throws Exception {
        Path folder = Path.of(System.getProperty("folder"));
        Set<String> exist = ConcurrentHashMap.newKeySet();
        List<String> known = new CopyOnWriteArrayList<>();
        for (int i = 0; i < FUNCTIONS; i++) {
            known.add(newFunction(exist));
        }
        List<Invoker> invokers = new ArrayList<>();
        for (int i = 0; i < INVOKERS; i++) {
            invokers.add(new NoisyInvoker(i, exist, trouble));
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
            for (int i = 0; i < CONNECTIONS; i++) {
                int number = i;
                Board.daemon(() -> client(controller, known, number));
            }
            long until = System.currentTimeMillis() + millis;
            for (int second = 1; System.currentTimeMillis() < until && controller.isAlive();
                    second++) {
                Thread.sleep(1000);
                for (int i = 0; second % SPELL_SECONDS == 0 && i < GIVING_WAY * FUNCTIONS; i++) {
                    known.set((second * 7 + i) % FUNCTIONS, newFunction(exist));
                }
            }
            ended = true;
            if (!controller.isAlive()) {
                record.say("BROKEN: the controller ended with code %d", controller.exitCode());
                return 1;
            }
            record.say("%d served, of these %d with what no invoker made for them (%d of book-slot"
                            + " that never ran); %d refused or failed, %d without answer; %d of"
                            + " book-slot ran twice; %d answers with noise after them",
                    served.get(), foreign.get(), neverRan.get(), notServed.get(),
                    unanswered.get(), twice.get(), noises.get());
            long broken = foreign.get() + unanswered.get() + twice.get();
            record.say(broken > 0 ? "BROKEN" : "held");
            return broken > 0 ? 1 : served.get() > 0 ? 0 : 2;
        }
    }

    private static String newFunction(Set<String> exist) {
        String function = Client.hex();
        exist.add(function);
        return function;
    }

    /** Records each run of a request that must never run twice. */
    private void came(Invoker invoker, String kind, Http request) {
        if (!kind.equals("run") || !request.first().contains("/book-slot ")) {
            return;
        }
        String id = request.header("x-txn");
        String before = ran.putIfAbsent(id, invoker.id);
        if (before != null) {
            twice.incrementAndGet();
            record.line("request %s (book-slot) runs at %s, it ran before at %s", id, invoker.id,
                    before);
        }
    }

    private void client(ControllerRun controller, List<String> known, int number) {
        Random random = new Random(number);
        String[] lanes = {"free-slots", "slot-suggest", "book-slot"};
        while (!ended && controller.isAlive()) {
            try (Client client = new Client(controller.port, 5600)) {
                while (!ended) {
                    String id = Client.hex();
                    String lane = lanes[random.nextInt(3)];
                    String function = known.get(random.nextInt(known.size()));
                    client.send(function, lane, id, 5000,
                            "memory_mb:512;lanes:4;load_ms:800", "request " + id);
                    Http answer = receiveOrNull(client);
                    if (answer == null) {
                        unanswered.addAndGet(ended ? 0 : 1);
                        record.line("client %d: no answer to %s (%s)", number, id, lane);
                        break;
                    }
                    judge(number, id, lane, answer);
                    Thread.sleep(100 + random.nextInt(200));
                }
            } catch (IOException | InterruptedException e) {
                record.line("client %d: %s", number, e);
            }
        }
    }

    private void judge(int number, String id, String lane, Http answer) {
        if (answer.status() != 200) {
            notServed.incrementAndGet();
            return;
        }
        served.incrementAndGet();
        String body = new String(answer.body(), StandardCharsets.ISO_8859_1);
        if (!body.matches("s-\\d+ ran " + id)) {
            foreign.incrementAndGet();
            boolean missed = lane.equals("book-slot") && !ran.containsKey(id);
            neverRan.addAndGet(missed ? 1 : 0);
            record.line("client %d: request %s (%s) was served with: %s", number, id, lane,
                    body.replace("\r", "\\r").replace("\n", "\\n"));
        }
    }

    private static Http receiveOrNull(Client client) {
        try {
            return client.receive();
        } catch (IOException e) {
            return null;
        }
    }
}
