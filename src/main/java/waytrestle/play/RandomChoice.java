package waytrestle.play;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import waytrestle.ControlApi;
import waytrestle.calls.Desk;

/**
 * Random choice among ready invokers: the baseline that service is compared with, never for service
 * itself.
 */
public final class RandomChoice implements ControlApi {
    private static final class Call {
        RequestClass kind;
        String function;
        int sent, out;
        boolean mayHaveRun;
        String boundTo;
        long boundAt;
        final Set<String> tried = new HashSet<>();
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, Invoker> invokers = new HashMap<>();
    private final Map<Long, Call> calls = new HashMap<>();

    public RandomChoice(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void on(long now, Event event, Actions out) {
        if (event instanceof InvokerList list) {
            if (list.whole()) {
                invokers.clear();
            }
            list.entries().forEach(i -> invokers.put(i.id(), i));
            invokers.values().removeIf(i -> i.state() == State.GONE);
        } else if (event instanceof Request r) {
            Call call = new Call();
            call.kind = settings.classes().get(r.requestClass());
            call.function = r.function();
            calls.put(r.id(), call);
            out.add(
                    new SetTimer(
                            Math.max(1, r.timeLeftMicros() - settings.tickMicros()),
                            Long.toString(r.id())));
            send(now, r.id(), call, out);
        } else if (event instanceof AttemptEnded e) {
            Call call = calls.get(e.id());
            if (call == null) {
                return;
            }
            call.out--;
            if (e.isFinal()) {
                calls.remove(e.id());
                return;
            }
            if (e.code() == Code.MISS && settings.loading().orders()) {
                out.add(new Order(e.invoker(), call.function, 1));
            }
            if (!Desk.proved(e.code()) && !call.mayHaveRun) {
                call.mayHaveRun = true;
                call.boundTo = e.invoker();
            }
            send(now, e.id(), call, out);
        } else if (event instanceof TimerFired t) {
            Call call = calls.get(Long.parseLong(t.tag()));
            if (call != null) {
                end(Long.parseLong(t.tag()), call, out);
            }
        } else if (event instanceof RequestGone g) {
            calls.remove(g.id());
        }
    }

    private void send(long now, long id, Call call, Actions out) {
        boolean may =
                !call.mayHaveRun
                        || call.kind.repeat() == Repeat.SAFE
                        || (call.kind.repeat() == Repeat.KEYED
                                && now
                                        < call.boundAt
                                                + call.kind.windowMicros()
                                                - settings.tickMicros());
        List<Invoker> ready = new ArrayList<>();
        for (Invoker i : invokers.values()) {
            boolean group =
                    !call.mayHaveRun
                            || call.kind.repeat() != Repeat.KEYED
                            || call.kind.group() == Group.ALL
                            || (invokers.containsKey(call.boundTo)
                                    && (call.kind.group() == Group.ZONE
                                            ? invokers.get(call.boundTo).zone() == i.zone()
                                            : invokers.get(call.boundTo).cell() == i.cell()));
            if (i.state() == State.READY && group && !call.tried.contains(i.id())) {
                ready.add(i);
            }
        }
        if (!may || ready.isEmpty() || call.sent >= settings.limits().maxAttempts()) {
            end(id, call, out);
            return;
        }
        ready.sort(java.util.Comparator.comparing(Invoker::id));
        String to = ready.get(random.nextInt(ready.size())).id();
        call.tried.add(to);
        call.boundAt = call.sent++ == 0 ? now : call.boundAt;
        call.out++;
        out.add(new Send(id, to, 0));
    }

    private void end(long id, Call call, Actions out) {
        boolean safe =
                call.kind.repeat() == Repeat.SAFE
                        || (call.kind.repeat() == Repeat.KEYED && call.kind.group() == Group.ALL);
        out.add(safe || (!call.mayHaveRun && call.out == 0) ? new Refuse(id, 0) : new Fail(id));
        if (call.out > 0 && settings.limits().cancel()) {
            out.add(new Cancel(id, call.sent - 1));
        }
        calls.remove(id);
    }
}
