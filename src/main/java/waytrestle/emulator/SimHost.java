package waytrestle.emulator;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import waytrestle.ControlApi.Code;
import waytrestle.ControlApi.Start;
import waytrestle.calls.End.Served;
import waytrestle.calls.Intake.Incoming;
import waytrestle.gateway.Host;
import waytrestle.invoker.LoadMetrics;
import waytrestle.standin.InvokerBody;
import waytrestle.standin.InvokerModel;

/** One controller's host in the emulator: simulated time, and invoker models behind a network of delays. */
final class SimHost implements Host {
    private static final LoadMetrics NOTHING = LoadMetrics.read(null);
    private static final byte[] ANSWER = {};

    private final SimClock clock;
    private final Network network;
    private final int controller;
    private final Function<String, InvokerBody> invokers;
    private final Set<Attempt> open = new LinkedHashSet<>();
    private boolean dead;

    /** Micros from one part to another, one way. */
    interface Network {
        long delay(int controller, String invoker);
    }

    SimHost(SimClock clock, Network network, int controller, Function<String, InvokerBody> invokers) {
        this.clock = clock;
        this.network = network;
        this.controller = controller;
        this.invokers = invokers;
    }

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public void after(long micros, Runnable task) {
        clock.after(micros, () -> {
            if (!dead) {
                task.run();
            }
        });
    }

    /** The controller's process is gone: its connections close, nothing of it happens any more. */
    void die() {
        dead = true;
        java.util.List.copyOf(open).forEach(a -> a.close(null));
    }

    /** An invoker's process is gone: what was out there is reset. */
    void broke(String invoker) {
        for (Attempt a : java.util.List.copyOf(open)) {
            if (a.invoker.equals(invoker)) {
                clock.after(network.delay(controller, invoker), () -> a.close(a.arrived ? Code.RESET : Code.CONNECT_FAILED));
            }
        }
    }

    @Override
    public Wire open(String invoker) {
        return new SimWire(invoker);
    }

    /** An attempt out. */
    private final class Attempt implements InvokerBody.Reply {
        final String invoker;
        final Ended ended;
        InvokerBody.Underway underway;
        boolean over, arrived, answered;

        Attempt(String invoker, Ended ended) {
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
            clock.after(network.delay(controller, invoker), () -> end(garbled ? Code.ERROR : r.code(), new LoadMetrics(
                    r.report(), r.start(), r.company(), -1)));
        }

        private void end(Code code, LoadMetrics told) {
            if (over) {
                return;
            }
            over = true;
            open.remove(this);
            if (!dead) {
                ended.ended(code, code == Code.OK ? new Served("application/json", ANSWER) : null, told);
            }
        }

        /** Ends from this side or by a break; the invoker sees it after the network's delay. */
        void close(Code code) {
            if (over) {
                return;
            }
            InvokerBody.Underway there = underway;
            if (there != null) {
                clock.after(network.delay(controller, invoker), () -> there.closed(0));
            }
            if (code == null) {
                over = true;
                open.remove(this);
            } else {
                end(code, NOTHING);
            }
        }
    }

    private final class SimWire implements Wire {
        private final String id;

        private SimWire(String id) {
            this.id = id;
        }

        private InvokerBody there() {
            InvokerBody body = invokers.apply(id);
            return body != null && body.up() ? body : null;
        }

        @Override
        public Runnable infer(Incoming call, String key, int attempt, long within, Ended ended) {
            Attempt a = new Attempt(id, ended);
            long work = Emulation.workOf(call);
            clock.after(network.delay(controller, id), () -> {
                InvokerBody body = there();
                if (a.over) {
                    return;
                }
                if (body == null) {
                    clock.after(network.delay(controller, id), () -> a.end(Code.CONNECT_FAILED, NOTHING));
                    return;
                }
                a.arrived = true;
                if (!body.isCutOff(controller)) {
                    InvokerBody.Underway underway = body.attempt(controller, key, attempt, call.function(), work, a);
                    a.underway = a.open() ? underway : null;
                }
            });
            after(within, () -> a.close(Code.TIMEOUT));
            return () -> clock.after(0, () -> a.close(Code.CANCELLED));
        }

        @Override
        public void order(String function, int copies, long within, Told told) {
            boolean[] over = {false};
            clock.after(network.delay(controller, id), () -> {
                InvokerBody body = there();
                if (body == null || body.isCutOff(controller)) {
                    if (body == null) {
                        answer(over, told, Code.CONNECT_FAILED, 0);
                    }
                    return;
                }
                if (copies == 0) {
                    answer(over, told, Code.OK, body.model().standing(function));
                    return;
                }
                body.order(controller, function, copies, standing -> answer(over, told,
                        standing >= 0 ? Code.OK : Code.FULL, Math.max(0, standing)));
            });
            after(within, () -> {
                if (!over[0]) {
                    over[0] = true;
                    told.told(Code.TIMEOUT, 0, NOTHING);
                }
            });
        }

        private void answer(boolean[] over, Told told, Code code, int copies) {
            after(network.delay(controller, id), () -> {
                if (!over[0]) {
                    over[0] = true;
                    told.told(code, copies, NOTHING);
                }
            });
        }

        @Override
        public void unload(String function, long within) {
            clock.after(network.delay(controller, id), () -> {
                if (there() != null) {
                    there().model().unload(function);
                }
            });
        }

        @Override
        public void probe(long within, Told told) {
            after(2 * network.delay(controller, id), () -> {
                InvokerBody body = there();
                told.told(body == null ? Code.CONNECT_FAILED : Code.OK, 0, body == null ? NOTHING
                        : new LoadMetrics(Map.copyOf(body.model().report()), Start.UNKNOWN, -1, -1));
            });
        }

        @Override
        public void closeIdle() { }

        @Override
        public void close() { }

        @Override
        public int connections() {
            return (int) open.stream().filter(a -> a.invoker.equals(id)).count();
        }
    }
}
