package waytrestle.requests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import waytrestle.requests.RequestOutcome.AttemptSummary;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.FunctionError;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.requests.RequestOutcome.Rejected;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * What a client is owed: each waiter of each call gets one final answer before its own time is up,
 * and nothing after. Fronts bring waiters, the controller brings what the module decided and how
 * attempts ended. Free of I/O, clock and threads. Where calls run and whether they are refused is
 * the module's; here is only who is told what, once.
 */
public final class PendingRequests {
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
    public record RequestArrived(
            long clientId,
            int requestClass,
            int tenant,
            long retryMark,
            IdempotencyStore.KeyedRequest idempotencyKey,
            long timeLeftMicros)
            implements Event {}

    /** The waiter's client went away. */
    public record ClientDisconnected(long clientId) implements Event {}

    /** The module let an attempt go out. */
    public record AttemptForwarded(long requestId, int attempt) implements Event {}

    /**
     * An attempt ended: by the function's answer (Served), its own error (Answered, which the call
     * ends with if nothing better comes) or without a word of it (null). Where the call ends with
     * this attempt it does so here and now; a function that nobody knows has no word either. The
     * last is what came, for whoever asks why.
     */
    public record AttemptCompleted(
            long requestId,
            int attempt,
            ResponseCode code,
            RequestOutcome outcome,
            boolean endsRequest,
            String responseText)
            implements Event {}

    /** The module refused; the estimate behind that is negative where another reason was. */
    public record SchedulerRejectedRequest(
            long requestId, long retryAfterMicros, long estimateMicros) implements Event {}

    /** No invoker knows the function. */
    public record FunctionNotFound(long requestId) implements Event {}

    /** The call never went before the module: its function fails everywhere and said so last. */
    public record CircuitRejectedRequest(
            long requestId, String lastResponseText, long retryAfterMicros) implements Event {}

    public record SchedulerFailedRequest(long requestId) implements Event {}

    /** A decision about this call threw. */
    public record SchedulerThrew(long requestId) implements Event {}

    /** The time of an earlier Wake has come. */
    public record DeadlineExpired(long clientId) implements Event {}

    /** No more calls are taken. */
    public record ShutdownStarted() implements Event {}

    /** The grace of a stop is over: what is still open ends now. */
    public record ShutdownGraceExpired() implements Event {}

    /** What is to be done. */
    public sealed interface Command {}

    /** The one answer to a waiter. */
    public record RespondToClient(long clientId, RequestOutcome outcome) implements Command {}

    /** A new call for the module. */
    public record StartRequest(long requestId, long clientId, long timeLeftMicros)
            implements Command {}

    /** Nobody waits for the call any more: tell the module. */
    public record AbandonRequest(long requestId) implements Command {}

    /** Come back with Due. */
    public record SetDeadlineTimer(long clientId, long afterMicros) implements Command {}

    /** Takes the actions in order. */
    public interface CommandSink {
        void add(Command action);
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
        final RequestArrived from;
        final List<Waiter> waiters = new ArrayList<>(1);
        final List<Long> sentAt = new ArrayList<>(2);
        final List<Boolean> out = new ArrayList<>(2);
        long mayRunAt; // first send not proved never to have run; 0 without one
        int tries; // attempts that went out
        ResponseCode lastCode; // of the attempt that ended last, null without one
        String last = "";
        FunctionError own; // the function's own error, if that ended last
        boolean left; // the module knows it no more; it ends with its last attempt

        Call(long id, long deadline, RequestClass kind, RequestArrived from) {
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
    private final IdempotencyStore idempotencyStore;
    private final AdmissionControl gate;
    private final boolean cancels;
    private final Map<Long, Waiter> waiters = new HashMap<>();
    private final Map<Long, Call> inFlight = new HashMap<>();
    private long calls;
    private boolean stopping;
    private long now;
    private CommandSink actions;

    /**
     * Where attempts cannot be cancelled, a call whose clients have left goes on while one is out,
     * for repeats to join.
     */
    public PendingRequests(
            List<RequestClass> classes,
            int maxOpen,
            long tickMicros,
            IdempotencyStore memory,
            AdmissionControl gate,
            boolean cancels) {
        this.cancels = cancels;
        this.gate = gate;
        this.classes = classes;
        this.maxOpen = maxOpen;
        this.tick = tickMicros;
        this.idempotencyStore = memory;
    }

    public int inFlight() {
        return inFlight.size();
    }

    public int waitingClients() {
        return waiters.size();
    }

    public IdempotencyStore idempotencyStore() {
        return idempotencyStore;
    }

    /** Takes one event; wall seconds serve the signing times alone. */
    public void handle(long nowMicros, long wallSeconds, Event event, CommandSink out) {
        now = nowMicros;
        actions = out;
        if (event instanceof RequestArrived e) {
            arrived(e, wallSeconds);
        } else if (event instanceof ClientDisconnected e) {
            left(e.clientId());
        } else if (event instanceof AttemptForwarded e) {
            sent(e);
        } else if (event instanceof AttemptCompleted e) {
            attemptOver(e);
        } else if (event instanceof SchedulerRejectedRequest e) {
            moduleRefused(inFlight.get(e.requestId()), e);
        } else if (event instanceof SchedulerFailedRequest e) {
            failed(inFlight.get(e.requestId()), null);
        } else if (event instanceof SchedulerThrew e) {
            failed(inFlight.get(e.requestId()), Reason.INTERNAL_ERROR);
        } else if (event instanceof FunctionNotFound e) {
            absent(inFlight.get(e.requestId()));
        } else if (event instanceof CircuitRejectedRequest e) {
            failedFast(inFlight.get(e.requestId()), e);
        } else if (event instanceof DeadlineExpired e) {
            due(waiters.get(e.clientId()));
        } else if (event instanceof ShutdownStarted) {
            stopping = true;
        } else if (event instanceof ShutdownGraceExpired) {
            for (Call call : List.copyOf(inFlight.values())) {
                actions.add(new AbandonRequest(call.id));
                refused(call, Reason.SHUTTING_DOWN, 0);
            }
        }
    }

    private void arrived(RequestArrived e, long wallSeconds) {
        long deadline = now + e.timeLeftMicros();
        IdempotencyStore.LookupResult verdict =
                e.idempotencyKey() == null
                        ? new IdempotencyStore.LookupResult.NewRequest(0)
                        : idempotencyStore.lookUp(now, wallSeconds, e.idempotencyKey());
        if (verdict instanceof IdempotencyStore.LookupResult.Completed again) {
            actions.add(new RespondToClient(e.clientId(), again.outcome()));
            return;
        }
        if (verdict instanceof IdempotencyStore.LookupResult.InFlight
                && e.timeLeftMicros() <= BACKSTOP * tick) {
            actions.add(
                    new RespondToClient(
                            e.clientId(),
                            new Failed(
                                    Reason.STILL_IN_FLIGHT,
                                    e.idempotencyKey().idempotency() != Idempotency.IDEMPOTENT)));
            return;
        }
        if (verdict instanceof IdempotencyStore.LookupResult.InFlight join
                && inFlight.containsKey(join.requestId())) {
            wait(e.clientId(), deadline, inFlight.get(join.requestId()));
            return;
        }
        if (e.timeLeftMicros() <= BACKSTOP * tick) {
            actions.add(
                    new RespondToClient(e.clientId(), new Rejected(Reason.NO_FINISH_IN_TIME, 0)));
            return;
        }
        if (stopping || inFlight.size() >= maxOpen) {
            actions.add(
                    new RespondToClient(
                            e.clientId(),
                            new Rejected(
                                    stopping ? Reason.SHUTTING_DOWN : Reason.TOO_MANY_IN_FLIGHT,
                                    0)));
            return;
        }
        Reason offered = gate.rejectionReason(now, e.tenant(), e.requestClass(), e.retryMark());
        if (offered != null) {
            actions.add(new RespondToClient(e.clientId(), new Rejected(offered, GATE_PAUSE)));
            return;
        }
        long notAfter = ((IdempotencyStore.LookupResult.NewRequest) verdict).notAfterMicros();
        Call call =
                new Call(
                        ++calls,
                        notAfter > 0 ? Math.min(deadline, notAfter) : deadline,
                        classes.get(e.requestClass()),
                        e);
        inFlight.put(call.id, call);
        gate.requestStarted(now, e.tenant(), e.requestClass());
        if (e.idempotencyKey() != null) {
            idempotencyStore.requestStarted(call.id, e.idempotencyKey());
        }
        wait(e.clientId(), deadline, call);
        actions.add(new StartRequest(call.id, e.clientId(), call.deadline - now));
    }

    private void wait(long id, long deadline, Call call) {
        Waiter waiter = new Waiter(id, call);
        waiters.put(id, waiter);
        call.waiters.add(waiter);
        actions.add(
                new SetDeadlineTimer(
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
                    new RespondToClient(
                            waiter.id,
                            new Failed(
                                    Reason.STILL_IN_FLIGHT,
                                    call.kind.idempotency() != Idempotency.IDEMPOTENT)));
            if (call.waiters.isEmpty()) {
                abandon(call);
            }
            return;
        }
        actions.add(new AbandonRequest(call.id));
        failed(call, Reason.DEADLINE_EXCEEDED);
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
            actions.add(new AbandonRequest(call.id));
        }
    }

    /** Nobody waits: for the module it is over; a repeat is judged by whether it may have run. */
    private void abandon(Call call) {
        inFlight.remove(call.id);
        gate.requestCompleted(
                now,
                call.from.tenant(),
                call.from.requestClass(),
                call.from.retryMark(),
                false,
                false);
        idempotencyStore.requestCompleted(
                now, call.id, new Failed(Reason.ABANDONED, call.mayRunAt() != 0), call.mayRunAt());
        actions.add(new AbandonRequest(call.id));
    }

    private void forget(Waiter waiter) {
        waiters.remove(waiter.id);
        waiter.call.waiters.remove(waiter);
    }

    private void sent(AttemptForwarded e) {
        Call call = inFlight.get(e.requestId());
        if (call != null) {
            while (call.out.size() <= e.attempt()) {
                call.out.add(false);
                call.sentAt.add(now);
            }
            call.out.set(e.attempt(), true);
            call.tries++;
        }
    }

    private void attemptOver(AttemptCompleted e) {
        Call call = inFlight.get(e.requestId());
        if (call == null) {
            return;
        }
        call.lastCode = e.code();
        call.last =
                e.code() == ResponseCode.NOT_SENT && !call.last.isEmpty()
                        ? call.last
                        : e.responseText();
        if (e.attempt() >= call.out.size() || !call.out.get(e.attempt())) {
            return; // it never went out
        }
        if (e.code() == ResponseCode.OK) {
            end(call, e.outcome(), call.mayRunAt());
            return;
        }
        call.out.set(e.attempt(), false);
        if (!provesNotRun(e.code())
                && (call.mayRunAt == 0 || call.sentAt.get(e.attempt()) < call.mayRunAt)) {
            call.mayRunAt = call.sentAt.get(e.attempt());
        }
        call.own = e.outcome() instanceof FunctionError own ? own : null;
        if (call.left) {
            leftEnds(call);
        } else if (e.endsRequest() && e.code() == ResponseCode.NOT_LOADED) {
            absent(call);
        } else if (e.endsRequest()) {
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
            inFlight.remove(call.id);
            gate.requestCompleted(
                    now,
                    call.from.tenant(),
                    call.from.requestClass(),
                    call.from.retryMark(),
                    false,
                    false);
            idempotencyStore.requestCompleted(
                    now,
                    call.id,
                    new Failed(Reason.ABANDONED, call.mayRunAt() != 0),
                    call.mayRunAt());
        } else {
            refused(call, why(call), 0);
        }
    }

    /** Whether an end proves that the attempt never ran. */
    public static boolean provesNotRun(ResponseCode code) {
        return code == ResponseCode.FULL
                || code == ResponseCode.CONNECT_FAILED
                || code == ResponseCode.NOT_SENT
                || code == ResponseCode.NOT_LOADED;
    }

    /**
     * Says of a refusal what it was for: the estimate where that said so, else how the last attempt
     * ended.
     */
    private void moduleRefused(Call call, SchedulerRejectedRequest e) {
        if (call == null) {
            return;
        }
        if (call.own != null) {
            failed(call, null); // the function's own word is truer than that its time is up
            return;
        }
        Reason why =
                e.estimateMicros() < 0
                        ? call.out.contains(true) ? Reason.DEADLINE_EXCEEDED : why(call)
                        : e.estimateMicros() > call.deadline - now
                                ? Reason.NO_FINISH_IN_TIME
                                : Reason.OVERLOADED;
        refused(call, why, e.retryAfterMicros());
    }

    private static Reason why(Call call) {
        return call.lastCode == null
                ? Reason.NO_READY_INVOKER
                : switch (call.lastCode) {
                    case FULL -> Reason.INVOKERS_AT_CAPACITY;
                    case CONNECT_FAILED -> Reason.UNREACHABLE;
                    case NOT_LOADED -> Reason.NOT_LOADED;
                    case NOT_SENT -> Reason.ATTEMPT_BUDGET_EXHAUSTED;
                    case RESET -> Reason.CONNECTION_LOST;
                    case TIMEOUT -> Reason.NO_RESPONSE;
                    case ERROR ->
                            call.last.equals("unreadable")
                                    ? Reason.MALFORMED_RESPONSE
                                    : Reason.INVOKER_ERROR;
                    default -> Reason.ATTEMPTS_FAILED;
                };
    }

    private void absent(Call call) {
        if (call != null) {
            end(
                    call,
                    new Failed(
                            Reason.FUNCTION_NOT_FOUND,
                            call.mayRunAt() != 0
                                    && call.kind.idempotency() != Idempotency.IDEMPOTENT,
                            tried(call)),
                    call.mayRunAt());
        }
    }

    private void failedFast(Call call, CircuitRejectedRequest e) {
        if (call != null) {
            end(
                    call,
                    new Rejected(
                            e.lastResponseText().equals("404")
                                    ? Reason.FUNCTION_NOT_FOUND
                                    : Reason.CIRCUIT_OPEN,
                            e.retryAfterMicros(),
                            new AttemptSummary(0, e.lastResponseText())),
                    0);
        }
    }

    private static AttemptSummary tried(Call call) {
        return new AttemptSummary(call.tries, call.last);
    }

    private void refused(Call call, Reason why, long comeBackAfter) {
        if (call == null) {
            return;
        }
        // A refusal promises that coming again is harmless; where that is not proved the promise is
        // not given.
        boolean harmless =
                call.mayRunAt() == 0
                        || call.kind.idempotency() == Idempotency.IDEMPOTENT
                        || (call.kind.idempotency() == Idempotency.KEYED
                                && call.kind.deduplicationScope() == DeduplicationScope.ALL
                                && now + comeBackAfter
                                        < call.mayRunAt()
                                                + call.kind
                                                        .deduplicationWindowMicros()); // later its
        // repeat
        // would
        // run
        if (harmless) {
            end(call, new Rejected(why, comeBackAfter, tried(call)), call.mayRunAt());
        } else {
            failed(call, why == Reason.SHUTTING_DOWN ? why : null);
        }
    }

    private void failed(Call call, Reason why) {
        if (call == null) {
            return;
        }
        boolean mayHaveRun =
                call.mayRunAt() != 0 && call.kind.idempotency() != Idempotency.IDEMPOTENT;
        if (call.own != null && why == null) {
            FunctionError own = call.own;
            end(
                    call,
                    new FunctionError(
                            own.status(), own.contentType(), own.body(), mayHaveRun, tried(call)),
                    call.mayRunAt());
            return;
        }
        Reason told =
                why != null
                        ? why
                        : call.deadline - now <= BACKSTOP * tick
                                ? Reason.DEADLINE_EXCEEDED
                                : call.out.contains(true) ? Reason.ATTEMPTS_FAILED : why(call);
        end(call, new Failed(told, mayHaveRun, tried(call)), call.mayRunAt());
    }

    private void end(Call call, RequestOutcome end, long mayRunAt) {
        inFlight.remove(call.id);
        gate.requestCompleted(
                now,
                call.from.tenant(),
                call.from.requestClass(),
                call.from.retryMark(),
                end instanceof Rejected,
                end instanceof Failed f && f.reason() == Reason.DEADLINE_EXCEEDED);
        idempotencyStore.requestCompleted(now, call.id, end, mayRunAt);
        for (Waiter waiter : call.waiters) {
            waiters.remove(waiter.id);
            actions.add(new RespondToClient(waiter.id, end));
        }
        call.waiters.clear();
    }
}
