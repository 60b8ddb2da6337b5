package waytrestle.emulator;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import waytrestle.Bytes;
import waytrestle.controller.AttemptResult;
import waytrestle.controller.InvokerClient;
import waytrestle.controller.InvokerClient.AttemptListener;
import waytrestle.controller.InvokerClient.OperationListener;
import waytrestle.controller.Transport;
import waytrestle.invoker.LoadMetrics;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.responses.ExchangeResult;
import waytrestle.responses.ExchangeResult.Kind;
import waytrestle.scheduler.StartKind;
import waytrestle.standin.InvokerBody;
import waytrestle.standin.InvokerModel;

/**
 * One controller's host in the emulator: simulated time, and invoker models behind a network of
 * delays.
 */
final class SimHost implements Transport {
    private static final byte[] ANSWER = {};
    private static final long YOUNG =
            4_000_000; // micros for which a kept connection proves its process's end

    private final SimClock clock;
    private final Network network;
    private final int controller;
    private final Function<String, InvokerBody> invokers;
    private final Set<Attempt> open = new LinkedHashSet<>();
    private final Map<String, Runnable> losses = new HashMap<>();
    private final Map<String, Long> usedAt = new HashMap<>();
    private boolean dead;

    /** Micros from one part to another, one way. */
    interface Network {
        long delay(int controller, String invoker);
    }

    SimHost(
            SimClock clock,
            Network network,
            int controller,
            Function<String, InvokerBody> invokers) {
        this.clock = clock;
        this.network = network;
        this.controller = controller;
        this.invokers = invokers;
    }

    @Override
    public long nowMicros() {
        return clock.now();
    }

    @Override
    public ScheduledTask schedule(long micros, Runnable task) {
        SimTask scheduled = new SimTask(task);
        clock.after(micros, scheduled);
        return scheduled;
    }

    /**
     * A task of the controller, which does not run once it was cancelled or the controller died.
     */
    private final class SimTask implements ScheduledTask, Runnable {
        private Runnable task;

        SimTask(Runnable task) {
            this.task = task;
        }

        @Override
        public void cancel() {
            task = null;
        }

        @Override
        public void run() {
            if (task != null && !dead) {
                task.run();
            }
        }
    }

    /** Attempts out. */
    int connect() {
        return open.size();
    }

    /** The controller's process is gone: its connections close, nothing of it happens any more. */
    void die() {
        dead = true;
        List.copyOf(open).forEach(a -> a.close(null));
    }

    /** An invoker's process is gone: what was out there is reset. */
    void broke(String invoker) {
        Long used = usedAt.remove(invoker);
        if (used != null && clock.now() - used < YOUNG && losses.containsKey(invoker)) {
            schedule(network.delay(controller, invoker), losses.get(invoker));
        }
        for (Attempt a : List.copyOf(open)) {
            if (a.invoker.equals(invoker)) {
                clock.after(
                        network.delay(controller, invoker),
                        () -> a.close(a.arrived ? Kind.CONNECTION_LOST : Kind.NOT_CONNECTED));
            }
        }
    }

    @Override
    public InvokerClient openClient(String invoker, Runnable lost) {
        return new SimWire(invoker, lost);
    }

    /** An attempt out. */
    private final class Attempt implements InvokerBody.Reply {
        final String invoker;
        final AttemptListener ended;
        InvokerBody.Underway underway;
        boolean over, arrived, answered;

        Attempt(String invoker, AttemptListener ended) {
            this.invoker = invoker;
            this.ended = ended;
            open.add(this);
        }

        @Override
        public boolean open() {
            return !over && !answered;
        }

        @Override
        public void answer(InvokerModel.Result r, boolean garbled) {
            underway = null;
            answered = true;
            usedAt.put(invoker, clock.now());
            ExchangeResult reply =
                    garbled
                            ? ExchangeResult.of(Kind.MALFORMED)
                            : r.status() == 200
                                    ? ExchangeResult.of(Kind.RESPONSE)
                                    : new ExchangeResult(Kind.STATUS, r.status());
            clock.after(
                    network.delay(controller, invoker),
                    () ->
                            end(
                                    new AttemptResult(
                                            reply,
                                            reply.kind() == Kind.RESPONSE
                                                    ? new Served("application/json", ANSWER)
                                                    : null,
                                            "application/json",
                                            Bytes.NONE,
                                            new LoadMetrics(
                                                    r.report(), r.start(), r.company(), -1))));
        }

        private void end(AttemptResult came) {
            if (over) {
                return;
            }
            over = true;
            open.remove(this);
            if (!dead) {
                ended.completed(came);
            }
        }

        /** Ends from this side or by a break; the invoker sees it after the network's delay. */
        void close(Kind how) {
            if (over) {
                return;
            }
            InvokerBody.Underway there = underway;
            if (there != null) {
                clock.after(network.delay(controller, invoker), () -> there.closed(0));
            }
            if (how == null) {
                over = true;
                open.remove(this);
            } else {
                end(AttemptResult.of(how));
            }
        }
    }

    private final class SimWire implements InvokerClient {
        private final String id;

        private SimWire(String id, Runnable lost) {
            this.id = id;
            losses.put(id, lost);
        }

        private InvokerBody there() {
            InvokerBody body = invokers.apply(id);
            return body != null && body.up() ? body : null;
        }

        @Override
        public Runnable sendAttempt(
                IncomingRequest call, String key, int attempt, long within, AttemptListener ended) {
            Attempt a = new Attempt(id, ended);
            Kind withdrawal = ended.checkBeforeSend();
            if (withdrawal != null) {
                clock.after(0, () -> a.end(AttemptResult.of(withdrawal)));
                return () -> {};
            }
            long work = Emulation.workOf(call);
            clock.after(
                    network.delay(controller, id),
                    () -> {
                        InvokerBody body = there();
                        if (a.over) {
                            return;
                        }
                        if (body == null) {
                            clock.after(
                                    network.delay(controller, id),
                                    () -> a.end(AttemptResult.of(Kind.NOT_CONNECTED)));
                            return;
                        }
                        a.arrived = true;
                        if (!body.isCutOff(controller)) {
                            InvokerBody.Underway underway =
                                    body.attempt(
                                            controller, key, attempt, call.function(), work, a);
                            a.underway = a.open() ? underway : null;
                        }
                    });
            schedule(within, () -> a.close(Kind.TIMEOUT));
            return () -> clock.after(0, () -> a.close(Kind.CANCELLED));
        }

        @Override
        public void preload(String function, int copies, long within, OperationListener told) {
            boolean[] over = {false};
            clock.after(
                    network.delay(controller, id),
                    () -> {
                        InvokerBody body = there();
                        if (body == null || body.isCutOff(controller)) {
                            if (body == null) {
                                answer(over, told, ExchangeResult.of(Kind.NOT_CONNECTED), 0);
                            }
                            return;
                        }
                        if (copies == 0) {
                            answer(
                                    over,
                                    told,
                                    ExchangeResult.of(Kind.RESPONSE),
                                    body.model().standing(function));
                            return;
                        }
                        body.order(
                                controller,
                                function,
                                copies,
                                standing ->
                                        answer(
                                                over,
                                                told,
                                                standing >= 0
                                                        ? ExchangeResult.of(Kind.RESPONSE)
                                                        : new ExchangeResult(
                                                                Kind.STATUS,
                                                                standing == InvokerBody.UNKNOWN
                                                                        ? 404
                                                                        : 503),
                                                Math.max(0, standing)));
                    });
            schedule(
                    within,
                    () -> {
                        if (!over[0]) {
                            over[0] = true;
                            told.completed(ExchangeResult.of(Kind.TIMEOUT), 0, LoadMetrics.NONE);
                        }
                    });
        }

        private void answer(
                boolean[] over, OperationListener told, ExchangeResult reply, int copies) {
            schedule(
                    network.delay(controller, id),
                    () -> {
                        if (!over[0]) {
                            over[0] = true;
                            told.completed(
                                    reply,
                                    copies,
                                    new LoadMetrics(Map.of(), StartKind.UNKNOWN, -1, copies));
                        }
                    });
        }

        @Override
        public void unload(String function, long within) {
            clock.after(
                    network.delay(controller, id),
                    () -> {
                        if (there() != null) {
                            there().model().unload(function);
                        }
                    });
        }

        @Override
        public void checkHealth(long within, OperationListener told) {
            schedule(
                    2 * network.delay(controller, id),
                    () -> {
                        InvokerBody body = there();
                        told.completed(
                                ExchangeResult.of(
                                        body == null ? Kind.NOT_CONNECTED : Kind.RESPONSE),
                                0,
                                body == null
                                        ? LoadMetrics.NONE
                                        : new LoadMetrics(
                                                Map.copyOf(body.model().report()),
                                                StartKind.UNKNOWN,
                                                -1,
                                                -1));
                    });
        }

        @Override
        public void closeIdle() {}

        @Override
        public void close() {}

        @Override
        public int openConnections() {
            return (int) open.stream().filter(a -> a.invoker.equals(id)).count();
        }
    }
}
