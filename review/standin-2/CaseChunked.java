import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A controller with much traffic, whose invokers send small answers in one chunk each. */
final class CaseChunked {
    private static final int INVOKERS = 16;

    /** Requests a second: with the disruption, and without. */
    private static final int BUSY_RATE = Integer.getInteger("rate", 170);

    private static final int USUAL_RATE = 40;
    private static final int THREADS = 300;
    private static final int SECONDS = 45;

    /** Factor of work, aims and deadlines; the deadline is 23.7 s. */
    private static final double FACTOR = 4.74;

    private static final int DEADLINE_MILLIS = (int) (5_000 * FACTOR);

    private CaseChunked() {}

    public static void main(String[] args) {
        System.exit(World.run(Path.of(args[0]), CaseChunked::run));
    }

    private static void run(World world) throws Exception {
        Record record = world.record;
        int rate = world.trouble ? BUSY_RATE : USUAL_RATE;
        Invokers invokers = new Invokers(record, 1_500);
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < INVOKERS; i++) {
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
        Set<String> ran = ConcurrentHashMap.newKeySet();
        invokers.behaviour =
                (invoker, connection, request) ->
                        invokers.after(
                                ThreadLocalRandom.current().nextInt(92, 160) * FACTOR,
                                () -> {
                                    String id = request.header("x-txn");
                                    ran.add(id);
                                    record.line("ran " + id + " at " + invoker.id);
                                    connection.write(chunked("free 9:00 9:30 11:00, call " + id));
                                    connection.done();
                                });
        invokers.start();
        Board board = new Board(record);
        board.publish(hosts.toString());
        ControllerProcess controller = world.controller("n0");
        controller.writeConfig(
                board.address(), board.known(), Settings.colombo(0, 3, FACTOR), 1024);
        controller.start();
        controller.awaitReady();

        long begin = System.currentTimeMillis();
        long until = begin + SECONDS * 1_000L;
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicLong turn = new AtomicLong();
        CountDownLatch done = new CountDownLatch(THREADS);
        for (int c = 0; c < THREADS; c++) {
            new Thread(
                            () -> {
                                try (Client client = new Client(controller.address)) {
                                    while (true) {
                                        long at = begin + turn.getAndIncrement() * 1_000 / rate;
                                        if (at >= until || !controller.isAlive()) {
                                            break;
                                        }
                                        Thread.sleep(Math.max(0, at - System.currentTimeMillis()));
                                        if (!controller.isAlive()) {
                                            break;
                                        }
                                        call(
                                                world, controller, client, sent, served, refused,
                                                failed, lost);
                                    }
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                                done.countDown();
                            })
                    .start();
        }
        done.await();
        controller.awaitEnd(1_000);
        String summary =
                rate + " requests a second for " + (System.currentTimeMillis() - begin) + " ms: sent "
                        + sent + ", served " + served + ", refused " + refused + ", failed " + failed
                        + ", no answer " + lost + "; ran " + ran.size();
        record.line(summary);
        System.out.println(summary);
        if (!controller.isAlive()) {
            record.broken("the controller has ended by itself with code " + controller.exitCode());
        }
    }

    private static void call(
            World world,
            ControllerProcess controller,
            Client client,
            AtomicInteger sent,
            AtomicInteger served,
            AtomicInteger refused,
            AtomicInteger failed,
            AtomicInteger lost) {
        String id = world.newId();
        int draw = ThreadLocalRandom.current().nextInt(100);
        String name = draw < 62 ? "free-slots" : draw < 85 ? "slot-suggest" : "book-slot";
        int time = ThreadLocalRandom.current().nextInt(DEADLINE_MILLIS / 2, DEADLINE_MILLIS);
        String function = World.function(ThreadLocalRandom.current().nextInt(8));
        byte[] body = "salon".getBytes(StandardCharsets.US_ASCII);
        sent.incrementAndGet();
        world.record.line("sent " + id + " " + name + " with " + time);
        Client.Answer answer =
                client.call(Client.request(function, name, id, time, "", body), time + 550L);
        world.record.line("answered " + id + " " + answer.status + " " + answer.error);
        if (answer.served()) {
            served.incrementAndGet();
        } else if (answer.refused()) {
            refused.incrementAndGet();
        } else if (answer.status > 0) {
            failed.incrementAndGet();
        } else {
            lost.incrementAndGet();
            world.record.line(
                    id + " has no answer; controller alive: " + controller.isAlive());
        }
    }

    private static byte[] chunked(String text) {
        String answer =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(text.length())
                        + "\r\n"
                        + text
                        + "\r\n0\r\n\r\n";
        return answer.getBytes(StandardCharsets.ISO_8859_1);
    }
}
