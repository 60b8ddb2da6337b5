package waytrestle.platform;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import waytrestle.http.HttpServer;

/**
 * The script of some invokers: counts how often each request has come to them complete, which is
 * how often it has run, and answers after a while.
 */
final class RunRecorder {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int PERCENT = 100;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private volatile int unrunPercent;
    private volatile long minWorkMillis = 1;
    private volatile long maxWorkMillis = 2;
    private volatile Runnable onRun = () -> {};

    /** Becomes the script of these invokers. */
    RunRecorder(ScriptedInvoker... invokers) {
        for (ScriptedInvoker invoker : invokers) {
            invoker.setScript(exchange -> handle(invoker, exchange));
        }
    }

    /** Each request takes a time drawn from this range. */
    void workMillis(long least, long most) {
        minWorkMillis = least;
        maxWorkMillis = most;
    }

    /** This is done at the beginning of each run. */
    void onRun(Runnable action) {
        onRun = action;
    }

    /** So many requests in a hundred are answered as not run, by each answer that says so. */
    void leaveUnrun(int percent) {
        unrunPercent = percent;
    }

    private void handle(ScriptedInvoker invoker, HttpServer.Exchange exchange) {
        String id = exchange.message().header("x-txn");
        if (id == null) {
            ScriptedInvoker.respond(exchange, 200, "", "X-Units", "1");
            return;
        }
        if (ThreadLocalRandom.current().nextInt(PERCENT) < unrunPercent) {
            answerUnrun(exchange);
            return;
        }
        runs.computeIfAbsent(id, unused -> new AtomicInteger()).incrementAndGet();
        onRun.run();
        long millis = ThreadLocalRandom.current().nextLong(minWorkMillis, maxWorkMillis + 1);
        invoker.schedule(millis * MICROS_PER_MILLI, () -> answer(exchange, id));
    }

    private static void answerUnrun(HttpServer.Exchange exchange) {
        if (ThreadLocalRandom.current().nextBoolean()) {
            ScriptedInvoker.respond(exchange, 404, "");
        } else {
            ScriptedInvoker.respond(exchange, 503, "", "X-Unrun", "1");
        }
    }

    /** Some connections are kept, so that there are kept and new ones to invokers all the time. */
    private static void answer(HttpServer.Exchange exchange, String id) {
        if (!exchange.isOpen()) {
            return;
        }
        if (ThreadLocalRandom.current().nextBoolean()) {
            ScriptedInvoker.respond(exchange, 200, id, "Connection", "close");
        } else {
            ScriptedInvoker.respond(exchange, 200, id);
        }
    }

    /** How often the request of this id has run here. */
    int runs(String id) {
        AtomicInteger count = runs.get(id);
        return count == null ? 0 : count.get();
    }
}
