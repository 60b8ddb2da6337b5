import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Good answers whose stated length is half of the body that comes with it, in one write. */
final class CaseShortLength {
    private static final int INVOKERS = 4;
    private static final int CLIENTS = 6;
    private static final int SECONDS = 20;
    private static final double SHARE = 0.1;

    private CaseShortLength() {}

    public static void main(String[] args) {
        System.exit(World.run(Path.of(args[0]), CaseShortLength::run));
    }

    private static void run(World world) throws Exception {
        Record record = world.record;
        Invokers invokers = new Invokers(record, 300);
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < INVOKERS; i++) {
            Invokers.Invoker invoker = invokers.add("s-" + i, "127.0.0.1", 0);
            hosts.append(i == 0 ? "" : ",")
                    .append(
                            Board.host(
                                    invoker.id,
                                    "127.0.0.1:" + invoker.address.getPort(),
                                    "hall-a",
                                    0,
                                    "Ready",
                                    0));
        }
        Map<String, String> made = new ConcurrentHashMap<>();
        AtomicInteger spoilt = new AtomicInteger();
        invokers.behaviour =
                (invoker, connection, request) ->
                        invokers.after(
                                ThreadLocalRandom.current().nextInt(15, 45),
                                () -> {
                                    String id = request.header("x-txn");
                                    String body = answerOf(request);
                                    made.put(id, body);
                                    record.line(
                                            "ran " + id + " at " + invoker.id + " on connection "
                                                    + connection.number);
                                    if (world.trouble
                                            && ThreadLocalRandom.current().nextDouble() < SHARE) {
                                        spoilt.incrementAndGet();
                                        record.line("the answer to " + id + " states half");
                                        connection.write(shortLength(body));
                                        return; // the connection stays open and is of no use
                                    }
                                    invokers.answer(connection, 200, "", body);
                                });
        invokers.start();
        Board board = new Board(record);
        board.publish(hosts.toString());
        ControllerProcess controller = world.controller("n0");
        controller.writeConfig(board.address(), board.known(), Settings.colombo(0, 1), 1024);
        controller.start();
        controller.awaitReady();

        long until = System.currentTimeMillis() + SECONDS * 1_000L;
        AtomicInteger[] counts = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int c = 0; c < CLIENTS; c++) {
            int number = c;
            new Thread(
                            () -> {
                                calls(world, controller, number, until, made, counts);
                                done.countDown();
                            })
                    .start();
        }
        done.await();
        record.line(
                "served " + counts[0] + ", refused " + counts[1] + ", failed " + counts[2]
                        + "; answers with half the length " + spoilt);
        System.out.println(
                "served " + counts[0] + ", refused " + counts[1] + ", failed " + counts[2]
                        + "; answers with half the length " + spoilt);
        if (counts[0].get() < 100) {
            throw new IllegalStateException("too little was served to tell");
        }
    }

    private static String answerOf(Invokers.Message request) {
        String text =
                "slots of " + request.header("x-name") + " for "
                        + new String(request.body, StandardCharsets.ISO_8859_1) + ", call "
                        + request.header("x-txn") + ";";
        return text + ".".repeat(400 - text.length());
    }

    private static byte[] shortLength(String body) {
        String head =
                "HTTP/1.1 200 Status\r\nContent-Length: " + body.length() / 2 + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void calls(
            World world,
            ControllerProcess controller,
            int number,
            long until,
            Map<String, String> made,
            AtomicInteger[] counts) {
        String[] classes = {"free-slots", "slot-suggest", "free-slots", "book-slot"};
        try (Client client = new Client(controller.address)) {
            for (int i = 0; System.currentTimeMillis() < until; i++) {
                String id = world.newId();
                String function = World.function(ThreadLocalRandom.current().nextInt(4));
                byte[] body = ("salon-" + number + "-" + i).getBytes(StandardCharsets.ISO_8859_1);
                byte[] request =
                        Client.request(function, classes[i % 4], id, 5_000, "", body);
                world.record.line("sent " + id + " by client " + number);
                Client.Answer answer = client.call(request, 6_000);
                world.record.line("answered " + id + " " + answer.status + " " + answer.error);
                if (answer.served()) {
                    counts[0].incrementAndGet();
                    if (!answer.body.equals(made.get(id))) {
                        world.record.broken(
                                "the caller of " + id + " (salon-" + number + "-" + i
                                        + ") was served what no invoker made for it: "
                                        + visible(answer.body) + " instead of "
                                        + visible(String.valueOf(made.get(id))));
                    }
                } else if (answer.refused()) {
                    counts[1].incrementAndGet();
                } else {
                    counts[2].incrementAndGet();
                }
                Thread.sleep(ThreadLocalRandom.current().nextInt(20, 60));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String visible(String text) {
        String oneLine = text.replace("\r\n", "|").replaceAll("\\.{5,}", "...");
        return "\"" + oneLine + "\"";
    }
}
