package waytrestle.platform;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import waytrestle.http.HttpServer;

/**
 * An invoker's script that counts how often each request has come to it complete, which is how
 * often it has run, and answers after a while.
 */
final class RunRecorder implements InvokerScript {
    private static final long MICROS_PER_MILLI = 1_000;

    private final ScriptedInvoker invoker;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private volatile long minWorkMillis = 1;
    private volatile long maxWorkMillis = 2;

    RunRecorder(ScriptedInvoker invoker) {
        this.invoker = invoker;
        invoker.setScript(this);
    }

    /** Each request takes a time drawn from this range. */
    void workMillis(long least, long most) {
        minWorkMillis = least;
        maxWorkMillis = most;
    }

    @Override
    public void handle(HttpServer.Exchange exchange) {
        String id = exchange.message().header("x-txn");
        if (id == null) {
            ScriptedInvoker.respond(exchange, 200, "", "X-Units", "1");
            return;
        }
        runs.computeIfAbsent(id, unused -> new AtomicInteger()).incrementAndGet();
        long millis = ThreadLocalRandom.current().nextLong(minWorkMillis, maxWorkMillis + 1);
        invoker.schedule(millis * MICROS_PER_MILLI, () -> answer(exchange, id));
    }

    private static void answer(HttpServer.Exchange exchange, String id) {
        if (exchange.open()) {
            ScriptedInvoker.respond(exchange, 200, id);
        }
    }

    /** How often the request of this id has run here. */
    int runs(String id) {
        AtomicInteger count = runs.get(id);
        return count == null ? 0 : count.get();
    }
}
