package waytrestle.calls;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import waytrestle.ControlApi.Code;
import waytrestle.ControlApi.Group;
import waytrestle.ControlApi.Repeat;
import waytrestle.ControlApi.RequestClass;
import waytrestle.calls.End.Answered;
import waytrestle.calls.End.Failed;
import waytrestle.calls.End.Refused;
import waytrestle.calls.End.Tried;
import waytrestle.calls.End.Why;

/**
 * What a client is owed: each waiter of each call gets one final answer before its own time is up,
 * and nothing after. Fronts bring waiters, the controller brings what the module decided and how
 * attempts ended. Free of I/O, clock and threads. Where calls run and whether they are refused is
 * the module's; here is only who is told what, once.
 */
public final class Desk {
    // ---- Tuned numbers. ----
    private static final long BACKSTOP =
            2; // ticks before the end at which an unanswered call is failed here;
    // the module's own end comes one tick before, so this is later

    private static final long GATE_PAUSE =
            500_000; // micros after which a call that a gate turned away may come again:

    // two steps of the limit, so that it finds another state

    /** What happens at the desk. */
    public sealed interface Event {}

    /** A waiter with its call; key null: a call without an id, never joined or remembered. */
    public record Arrived(
            long waiter,
            int requestClass,
            int tenant,
            long mark,
            IdMemory.Arrival id,
            long timeLeftMicros)
            implements Event {}

    /** The waiter's client went away. */
    public record Left(long waiter) implements Event {}

    /** The module let an attempt go out. */
    public record Sent(long call, int attempt) implements Event {}

    /**
     * An attempt ended: by the function's answer (Served), its own error (Answered, which the call
     * ends with if nothing better comes) or without a word of it (null). Where the call ends with
     * this attempt it does so here and now; a function that nobody knows has no word either. The
     * last is what came, for whoever asks why.
     */
    public record AttemptOver(
            long call, int attempt, Code code, End said, boolean ends, String last)
            implements Event {}

    /** The module refused; the estimate behind that is negative where another reason was. */
    public record ModuleRefused(long call, long comeBackAfterMicros, long estimateMicros)
            implements Event {}

    /** No invoker knows the function. */
    public record FunctionAbsent(long call) implements Event {}

    /** The call never went before the module: its function fails everywhere and said so last. */
    public record FailedFast(long call, String said, long comeBackAfterMicros) implements Event {}

    public record ModuleFailed(long call) implements Event {}

    /** A decision about this call threw. */
    public record ModuleBroke(long call) implements Event {}

    /** The time of an earlier Wake has come. */
    public record Due(long waiter) implements Event {}

    /** No more calls are taken. */
    public record Stopping() implements Event {}

    /** The grace of a stop is over: what is still open ends now. */
    public record CloseAll() implements Event {}

    /** What is to be done. */
    public sealed interface Action {}

    /** The one answer to a waiter. */
    public record Answer(long waiter, End end) implements Action {}

    /** A new call for the module. */
    public record Begin(long call, long waiter, long timeLeftMicros) implements Action {}

    /** Nobody waits for the call any more: tell the module. */
    public record Abandon(long call) implements Action {}

    /** Come back with Due. */
    public record Wake(long waiter, long afterMicros) implements Action {}

    /** Takes the actions in order. */
    public interface Actions {
        void add(Action action);
    }

    private static final class Waiter {
        final long id;
        final Call call;

        Waiter(long id, Call call) {
            this.id = id;
            this.call = call;
        }
    }

    private static final class Call {
        final long id, deadline;
        final RequestClass kind;
        final Arrived from;
        final List<Waiter> waiters = new ArrayList<>(1);
        final List<Long> sentAt = new ArrayList<>(2);
        final List<Boolean> out = new ArrayList<>(2);
        long mayRunAt; // first send not proved never to have run; 0 without one
        int tries; // attempts that went out
        Code lastCode; // of the attempt that ended last, null without one
        String last = "";
        Answered own; // the function's own error, if that ended last
        boolean left; // the module knows it no more; it ends with its last attempt

        Call(long id, long deadline, RequestClass kind, Arrived from) {
            this.from = from;
            this.id = id;
            this.deadline = deadline;
            this.kind = kind;
        }

        /** The first send that ran, may have run or may still run. */
        long mayRunAt() {
            long first = mayRunAt;
            for (int i = 0; i < out.size(); i++) {
                if (out.get(i) && (first == 0 || sentAt.get(i) < first)) {
                    first = sentAt.get(i);
                }
            }
            return first;
        }
    }

    private final List<RequestClass> classes;
    private final int maxOpen;
    private final long tick;
    private final IdMemory memory;
    private final Gate gate;
    private final boolean cancels;
    private final Map<Long, Waiter> waiters = new HashMap<>();
    private final Map<Long, Call> open = new HashMap<>();
    private long calls;
    private boolean stopping;
    private long now;
    private Actions actions;

    /**
     * Where attempts cannot be cancelled, a call whose clients have left goes on while one is out,
     * for repeats to join.
     */
    public Desk(
            List<RequestClass> classes,
            int maxOpen,
            long tickMicros,
            IdMemory memory,
            Gate gate,
            boolean cancels) {
        this.cancels = cancels;
        this.gate = gate;
        this.classes = classes;
        this.maxOpen = maxOpen;
        this.tick = tickMicros;
        this.memory = memory;
    }

    public int open() {
        return open.size();
    }

    public int waiting() {
        return waiters.size();
    }

    public IdMemory memory() {
        return memory;
    }

    /** Takes one event; wall seconds serve the signing times alone. */
    public void on(long nowMicros, long wallSeconds, Event event, Actions out) {
        now = nowMicros;
        actions = out;
        if (event instanceof Arrived e) {
            arrived(e, wallSeconds);
        } else if (event instanceof Left e) {
            left(e.waiter());
        } else if (event instanceof Sent e) {
            sent(e);
        } else if (event instanceof AttemptOver e) {
            attemptOver(e);
        } else if (event instanceof ModuleRefused e) {
            moduleRefused(open.get(e.call()), e);
        } else if (event instanceof ModuleFailed e) {
            failed(open.get(e.call()), null);
        } else if (event instanceof ModuleBroke e) {
            failed(open.get(e.call()), Why.INTERNAL);
        } else if (event instanceof FunctionAbsent e) {
            absent(open.get(e.call()));
        } else if (event instanceof FailedFast e) {
            failedFast(open.get(e.call()), e);
        } else if (event instanceof Due e) {
            due(waiters.get(e.waiter()));
        } else if (event instanceof Stopping) {
            stopping = true;
        } else if (event instanceof CloseAll) {
            for (Call call : List.copyOf(open.values())) {
                actions.add(new Abandon(call.id));
                refused(call, Why.STOPPING, 0);
            }
        }
    }

    private void arrived(Arrived e, long wallSeconds) {
        long deadline = now + e.timeLeftMicros();
        IdMemory.Verdict verdict =
                e.id() == null
                        ? new IdMemory.Verdict.Fresh(0)
                        : memory.arrived(now, wallSeconds, e.id());
        if (verdict instanceof IdMemory.Verdict.Again again) {
            actions.add(new Answer(e.waiter(), again.end()));
            return;
        }
        if (verdict instanceof IdMemory.Verdict.Join && e.timeLeftMicros() <= BACKSTOP * tick) {
            actions.add(
                    new Answer(
                            e.waiter(),
                            new Failed(Why.STILL_OPEN, e.id().repeat() != Repeat.SAFE)));
            return;
        }
        if (verdict instanceof IdMemory.Verdict.Join join && open.containsKey(join.call())) {
            wait(e.waiter(), deadline, open.get(join.call()));
            return;
        }
        if (e.timeLeftMicros() <= BACKSTOP * tick) {
            actions.add(new Answer(e.waiter(), new Refused(Why.NO_FINISH_IN_TIME, 0)));
            return;
        }
        if (stopping || open.size() >= maxOpen) {
            actions.add(
                    new Answer(
                            e.waiter(),
                            new Refused(stopping ? Why.STOPPING : Why.TOO_MANY_OPEN, 0)));
            return;
        }
        Why offered = gate.refuse(now, e.tenant(), e.requestClass(), e.mark());
        if (offered != null) {
            actions.add(new Answer(e.waiter(), new Refused(offered, GATE_PAUSE)));
            return;
        }
        long notAfter = ((IdMemory.Verdict.Fresh) verdict).notAfterMicros();
        Call call =
                new Call(
                        ++calls,
                        notAfter > 0 ? Math.min(deadline, notAfter) : deadline,
                        classes.get(e.requestClass()),
                        e);
        open.put(call.id, call);
        gate.began(now, e.tenant(), e.requestClass());
        if (e.id() != null) {
            memory.begin(call.id, e.id());
        }
        wait(e.waiter(), deadline, call);
        actions.add(new Begin(call.id, e.waiter(), call.deadline - now));
    }

    private void wait(long id, long deadline, Call call) {
        Waiter waiter = new Waiter(id, call);
        waiters.put(id, waiter);
        call.waiters.add(waiter);
        actions.add(
                new Wake(
                        id,
                        Math.max(
                                0,
                                deadline
                                        - now
                                        - (call.waiters.size() > 1 ? BACKSTOP * tick : tick / 2))));
    }

    /**
     * A waiter's time is nearly up. A joined one may have less time than its call, which then goes
     * on for the others. The first one is here only if the module has not ended the call in its own
     * time: a backstop for whatever kept it from that (a failed decision, a stalled process).
     */
    private void due(Waiter waiter) {
        if (waiter == null) {
            return;
        }
        Call call = waiter.call;
        if (call.waiters.size() > 1 || call.deadline - now > BACKSTOP * tick) {
            forget(waiter);
            actions.add(
                    new Answer(
                            waiter.id,
                            new Failed(Why.STILL_OPEN, call.kind.repeat() != Repeat.SAFE)));
            if (call.waiters.isEmpty()) {
                abandon(call);
            }
            return;
        }
        actions.add(new Abandon(call.id));
        failed(call, Why.TIME_UP);
    }

    private void left(long id) {
        Waiter waiter = waiters.get(id);
        if (waiter == null) {
            return;
        }
        forget(waiter);
        Call call = waiter.call;
        if (call.waiters.isEmpty() && (cancels || !call.out.contains(true))) {
            abandon(call);
        } else if (call.waiters.isEmpty() && !call.left) {
            // Guards against a repeat of the same id that runs beside the attempt its client left
            // behind: it joins.
            call.left = true;
            actions.add(new Abandon(call.id));
        }
    }

    /** Nobody waits: for the module it is over; a repeat is judged by whether it may have run. */
    private void abandon(Call call) {
        open.remove(call.id);
        gate.over(
                now, call.from.tenant(), call.from.requestClass(), call.from.mark(), false, false);
        memory.ended(
                now, call.id, new Failed(Why.ABANDONED, call.mayRunAt() != 0), call.mayRunAt());
        actions.add(new Abandon(call.id));
    }

    private void forget(Waiter waiter) {
        waiters.remove(waiter.id);
        waiter.call.waiters.remove(waiter);
    }

    private void sent(Sent e) {
        Call call = open.get(e.call());
        if (call != null) {
            while (call.out.size() <= e.attempt()) {
                call.out.add(false);
                call.sentAt.add(now);
            }
            call.out.set(e.attempt(), true);
            call.tries++;
        }
    }

    private void attemptOver(AttemptOver e) {
        Call call = open.get(e.call());
        if (call == null) {
            return;
        }
        call.lastCode = e.code();
        call.last = e.code() == Code.MOOT && !call.last.isEmpty() ? call.last : e.last();
        if (e.attempt() >= call.out.size() || !call.out.get(e.attempt())) {
            return; // it never went out
        }
        if (e.code() == Code.OK) {
            end(call, e.said(), call.mayRunAt());
            return;
        }
        call.out.set(e.attempt(), false);
        if (!proved(e.code())
                && (call.mayRunAt == 0 || call.sentAt.get(e.attempt()) < call.mayRunAt)) {
            call.mayRunAt = call.sentAt.get(e.attempt());
        }
        call.own = e.said() instanceof Answered own ? own : null;
        if (call.left) {
            leftEnds(call);
        } else if (e.ends() && e.code() == Code.MISS) {
            absent(call);
        } else if (e.ends()) {
            failed(call, null);
        }
    }

    /**
     * The last attempt of a call that its first client left; who joined it since is told how that
     * ended.
     */
    private void leftEnds(Call call) {
        if (call.out.contains(true)) {
            return;
        }
        if (call.waiters.isEmpty()) {
            open.remove(call.id);
            gate.over(
                    now,
                    call.from.tenant(),
                    call.from.requestClass(),
                    call.from.mark(),
                    false,
                    false);
            memory.ended(
                    now, call.id, new Failed(Why.ABANDONED, call.mayRunAt() != 0), call.mayRunAt());
        } else {
            refused(call, why(call), 0);
        }
    }

    /** Whether an end proves that the attempt never ran. */
    public static boolean proved(Code code) {
        return code == Code.FULL
                || code == Code.CONNECT_FAILED
                || code == Code.MOOT
                || code == Code.MISS;
    }

    /**
     * Says of a refusal what it was for: the estimate where that said so, else how the last attempt
     * ended.
     */
    private void moduleRefused(Call call, ModuleRefused e) {
        if (call == null) {
            return;
        }
        if (call.own != null) {
            failed(call, null); // the function's own word is truer than that its time is up
            return;
        }
        Why why =
                e.estimateMicros() < 0
                        ? call.out.contains(true) ? Why.TIME_UP : why(call)
                        : e.estimateMicros() > call.deadline - now
                                ? Why.NO_FINISH_IN_TIME
                                : Why.CROWDED;
        refused(call, why, e.comeBackAfterMicros());
    }

    private static Why why(Call call) {
        return call.lastCode == null
                ? Why.NO_INVOKER
                : switch (call.lastCode) {
                    case FULL -> Why.ALL_FULL;
                    case CONNECT_FAILED -> Why.UNREACHABLE;
                    case MISS -> Why.NOT_LOADED;
                    case MOOT -> Why.OVER_TRIES;
                    case RESET -> Why.LOST;
                    case TIMEOUT -> Why.SILENT;
                    case ERROR -> call.last.equals("unreadable") ? Why.UNREADABLE : Why.ERRED;
                    default -> Why.BROKEN;
                };
    }

    private void absent(Call call) {
        if (call != null) {
            end(
                    call,
                    new Failed(
                            Why.NO_SUCH_FUNCTION,
                            call.mayRunAt() != 0 && call.kind.repeat() != Repeat.SAFE,
                            tried(call)),
                    call.mayRunAt());
        }
    }

    private void failedFast(Call call, FailedFast e) {
        if (call != null) {
            end(
                    call,
                    new Refused(
                            e.said().equals("404") ? Why.NO_SUCH_FUNCTION : Why.FUNCTION_FAILING,
                            e.comeBackAfterMicros(),
                            new Tried(0, e.said())),
                    0);
        }
    }

    private static Tried tried(Call call) {
        return new Tried(call.tries, call.last);
    }

    private void refused(Call call, Why why, long comeBackAfter) {
        if (call == null) {
            return;
        }
        // A refusal promises that coming again is harmless; where that is not proved the promise is
        // not given.
        boolean harmless =
                call.mayRunAt() == 0
                        || call.kind.repeat() == Repeat.SAFE
                        || (call.kind.repeat() == Repeat.KEYED
                                && call.kind.group() == Group.ALL
                                && now + comeBackAfter
                                        < call.mayRunAt()
                                                + call.kind
                                                        .windowMicros()); // later its repeat would
        // run
        if (harmless) {
            end(call, new Refused(why, comeBackAfter, tried(call)), call.mayRunAt());
        } else {
            failed(call, why == Why.STOPPING ? why : null);
        }
    }

    private void failed(Call call, Why why) {
        if (call == null) {
            return;
        }
        boolean mayHaveRun = call.mayRunAt() != 0 && call.kind.repeat() != Repeat.SAFE;
        if (call.own != null && why == null) {
            Answered own = call.own;
            end(
                    call,
                    new Answered(own.status(), own.type(), own.body(), mayHaveRun, tried(call)),
                    call.mayRunAt());
            return;
        }
        Why told =
                why != null
                        ? why
                        : call.deadline - now <= BACKSTOP * tick
                                ? Why.TIME_UP
                                : call.out.contains(true) ? Why.BROKEN : why(call);
        end(call, new Failed(told, mayHaveRun, tried(call)), call.mayRunAt());
    }

    private void end(Call call, End end, long mayRunAt) {
        open.remove(call.id);
        gate.over(
                now,
                call.from.tenant(),
                call.from.requestClass(),
                call.from.mark(),
                end instanceof Refused,
                end instanceof Failed f && f.why() == Why.TIME_UP);
        memory.ended(now, call.id, end, mayRunAt);
        for (Waiter waiter : call.waiters) {
            waiters.remove(waiter.id);
            actions.add(new Answer(waiter.id, end));
        }
        call.waiters.clear();
    }
}
