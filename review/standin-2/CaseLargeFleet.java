import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A controller with the usual traffic in a fleet of 3,200 invokers; without, in one of 200. */
final class CaseLargeFleet {
    /** Controllers that share one core. */
    private static final int CONTROLLERS = 2;

    /** Requests a second of each controller. */
    private static final int RATE = Integer.getInteger("rate", 50);

    /** Clients of each controller. */
    private static final int THREADS = Integer.getInteger("threads", 250);
    private static final int SECONDS = Integer.getInteger("seconds", 30);
    private static final int FUNCTIONS = 40;

    /** Time after a client's own in which a final answer still counts, with the slack. */
    private static final int LATE_MILLIS = 500 + 50;

    private CaseLargeFleet() {}

    public static void main(String[] args) {
        System.exit(World.run(Path.of(args[0]), CaseLargeFleet::run));
    }

    private static void run(World world) throws Exception {
        Record record = world.record;
        int count = world.trouble ? Integer.getInteger("invokers", 3_200) : 200;
        Invokers invokers = new Invokers(record, 1_500);
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < count; i++) {
            Invokers.Invoker invoker = invokers.add("s-" + i, "127.0.0.1", 0);
            hosts.append(i == 0 ? "" : ",")
                    .append(
                            Board.host(
                                    invoker.id,
                                    "127.0.0.1:" + invoker.address.getPort(),
                                    i % 2 == 0 ? "hall-a" : "hall-b",
                                    i / 6,
                                    "Ready",
                                    0));
        }
        AtomicInteger ran = new AtomicInteger();
        invokers.behaviour =
                (invoker, connection, request) ->
                        invokers.after(
                                ThreadLocalRandom.current().nextInt(60, 180),
                                () -> {
                                    ran.incrementAndGet();
                                    record.line(
                                            "ran " + request.header("x-txn") + " at " + invoker.id);
                                    invokers.answer(connection, 200, "", "free 9:00 9:30 11:00");
                                });
        invokers.start();
        Board board = new Board(record);
        board.publish(hosts.toString());
        // Only some of the deployment's controllers are started; the others have invokers of
        // their own here, which changes nothing for these.
        int inTier = world.trouble ? 1_600 : 100;
        for (int i = 0; i < CONTROLLERS; i++) {
            ControllerProcess controller = world.controller("n" + i);
            controller.core = World.lastCore();
            controller.cores = 1.0 / CONTROLLERS;
            controller.writeConfig(
                    board.address(), board.known(), Settings.colombo(i, inTier), 1024);
            controller.start();
        }
        for (ControllerProcess controller : world.controllers) {
            controller.awaitReady();
        }

        double[] popularity = popularity();
        long begin = System.currentTimeMillis();
        long until = begin + SECONDS * 1_000L;
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        Map<ControllerProcess, AtomicLong> turns = new HashMap<>();
        world.controllers.forEach(controller -> turns.put(controller, new AtomicLong()));
        CountDownLatch done = new CountDownLatch(CONTROLLERS * THREADS);
        for (int c = 0; c < CONTROLLERS * THREADS; c++) {
            ControllerProcess controller = world.controllers.get(c % CONTROLLERS);
            new Thread(
                            () -> {
                                try (Client client = new Client(controller.address)) {
                                    while (true) {
                                        long at =
                                                begin
                                                        + turns.get(controller).getAndIncrement()
                                                                * 1_000
                                                                / RATE;
                                        if (at >= until || !controller.isAlive()) {
                                            break;
                                        }
                                        Thread.sleep(Math.max(0, at - System.currentTimeMillis()));
                                        String id = world.newId();
                                        int draw = ThreadLocalRandom.current().nextInt(100);
                                        String name =
                                                draw < 62
                                                        ? "free-slots"
                                                        : draw < 85 ? "slot-suggest" : "book-slot";
                                        int time = ThreadLocalRandom.current().nextInt(2500, 5000);
                                        byte[] request =
                                                Client.request(
                                                        World.function(drawn(popularity)),
                                                        name,
                                                        id,
                                                        time,
                                                        "",
                                                        "salon".getBytes(
                                                                StandardCharsets.US_ASCII));
                                        sent.incrementAndGet();
                                        record.line(
                                                "sent " + id + " " + name + " to "
                                                        + controller.name + " with " + time);
                                        Client.Answer answer =
                                                client.call(request, time + LATE_MILLIS);
                                        record.line(
                                                "answered " + id + " " + answer.status + " "
                                                        + answer.error);
                                        if (answer.served()) {
                                            served.incrementAndGet();
                                        } else if (answer.refused()) {
                                            refused.incrementAndGet();
                                        } else if (answer.status > 0) {
                                            failed.incrementAndGet();
                                        } else {
                                            lost.incrementAndGet();
                                            record.broken(
                                                    id + " has no final answer " + LATE_MILLIS
                                                            + " ms after its " + time + " ms: "
                                                            + answer.error);
                                        }
                                    }
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                                done.countDown();
                            })
                    .start();
        }
        done.await();
        String summary =
                count + " invokers: sent " + sent + ", served " + served + ", refused " + refused
                        + ", failed " + failed + ", no answer " + lost;
        record.line(summary);
        System.out.println(summary);
    }

    /** The share of each program, cumulated: Zipf's law with the figures of the site. */
    private static double[] popularity() {
        double[] cumulated = new double[FUNCTIONS];
        double sum = 0;
        for (int i = 0; i < FUNCTIONS; i++) {
            sum += Math.pow(i + 2.0, -1.3);
            cumulated[i] = sum;
        }
        for (int i = 0; i < FUNCTIONS; i++) {
            cumulated[i] /= sum;
        }
        return cumulated;
    }

    private static int drawn(double[] popularity) {
        double draw = ThreadLocalRandom.current().nextDouble();
        int i = 0;
        while (i < popularity.length - 1 && popularity[i] < draw) {
            i++;
        }
        return i;
    }
}
