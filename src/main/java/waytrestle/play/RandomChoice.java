package waytrestle.play;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerCommand.CancelAttempt;
import waytrestle.scheduler.SchedulerCommand.FailRequest;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerCommand.RejectRequest;
import waytrestle.scheduler.SchedulerCommand.SetTimer;
import waytrestle.scheduler.SchedulerCommand.Sink;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerEvent.AttemptCompleted;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.RequestAbandoned;
import waytrestle.scheduler.SchedulerEvent.RequestReceived;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.scheduler.SchedulerTimer;

/**
 * Random choice among ready invokers: the baseline that service is compared with, never for service
 * itself.
 */
public final class RandomChoice implements RequestScheduler {
    private static final class Call {
        RequestClass kind;
        String function;
        int sent, out;
        boolean mayHaveRun;
        String boundTo;
        long boundAt;
        final Set<String> tried = new HashSet<>();
    }

    private final SchedulerSettings settings;
    private final SplittableRandom random;
    private final Map<String, InvokerEndpoint> invokers = new HashMap<>();
    private final Map<Long, Call> calls = new HashMap<>();

    public RandomChoice(SchedulerSettings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void handle(long now, SchedulerEvent event, Sink out) {
        if (event instanceof EndpointsUpdated list) {
            if (list.snapshot()) {
                invokers.clear();
            }
            list.entries().forEach(i -> invokers.put(i.id(), i));
            invokers.values().removeIf(i -> i.state() == EndpointState.GONE);
        } else if (event instanceof RequestReceived r) {
            Call call = new Call();
            call.kind = settings.classes().get(r.requestClass());
            call.function = r.function();
            calls.put(r.id(), call);
            out.add(
                    new SetTimer(
                            Math.max(1, r.timeLeftMicros() - settings.tickMicros()),
                            new SchedulerTimer.RequestDeadline(r.id())));
            send(now, r.id(), call, out);
        } else if (event instanceof AttemptCompleted e) {
            Call call = calls.get(e.id());
            if (call == null) {
                return;
            }
            call.out--;
            if (e.isFinal()) {
                calls.remove(e.id());
                return;
            }
            if (e.code() == ResponseCode.NOT_LOADED && settings.preloading().acceptsPreloads()) {
                out.add(new PreloadFunction(e.invoker(), call.function, 1));
            }
            if (!e.code().provesNotRun() && !call.mayHaveRun) {
                call.mayHaveRun = true;
                call.boundTo = e.invoker();
            }
            send(now, e.id(), call, out);
        } else if (event instanceof TimerExpired t) {
            if (t.timer() instanceof SchedulerTimer.RequestDeadline deadline
                    && calls.containsKey(deadline.requestId())) {
                end(deadline.requestId(), calls.get(deadline.requestId()), out);
            }
        } else if (event instanceof RequestAbandoned g) {
            calls.remove(g.id());
        }
    }

    private void send(long now, long id, Call call, Sink out) {
        boolean may =
                !call.mayHaveRun
                        || call.kind.idempotency() == Idempotency.IDEMPOTENT
                        || (call.kind.idempotency() == Idempotency.KEYED
                                && now
                                        < call.boundAt
                                                + call.kind.deduplicationWindowMicros()
                                                - settings.tickMicros());
        List<InvokerEndpoint> ready = new ArrayList<>();
        for (InvokerEndpoint i : invokers.values()) {
            boolean group =
                    !call.mayHaveRun
                            || call.kind.idempotency() != Idempotency.KEYED
                            || call.kind.deduplicationScope() == DeduplicationScope.ALL
                            || (invokers.containsKey(call.boundTo)
                                    && (call.kind.deduplicationScope() == DeduplicationScope.ZONE
                                            ? invokers.get(call.boundTo).zone() == i.zone()
                                            : invokers.get(call.boundTo).cell() == i.cell()));
            if (i.state() == EndpointState.READY && group && !call.tried.contains(i.id())) {
                ready.add(i);
            }
        }
        if (!may || ready.isEmpty() || call.sent >= settings.limits().maxAttempts()) {
            end(id, call, out);
            return;
        }
        ready.sort(Comparator.comparing(InvokerEndpoint::id));
        String to = ready.get(random.nextInt(ready.size())).id();
        call.tried.add(to);
        call.boundAt = call.sent++ == 0 ? now : call.boundAt;
        call.out++;
        out.add(new ForwardAttempt(id, to, 0));
    }

    private void end(long id, Call call, Sink out) {
        boolean safe =
                call.kind.idempotency() == Idempotency.IDEMPOTENT
                        || (call.kind.idempotency() == Idempotency.KEYED
                                && call.kind.deduplicationScope() == DeduplicationScope.ALL);
        out.add(
                safe || (!call.mayHaveRun && call.out == 0)
                        ? new RejectRequest(id, 0)
                        : new FailRequest(id));
        if (call.out > 0 && settings.limits().mayCancel()) {
            out.add(new CancelAttempt(id, call.sent - 1));
        }
        calls.remove(id);
    }
}
