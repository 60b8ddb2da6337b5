package waytrestle.requests;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import waytrestle.requests.IdempotencyStore.KeyedRequest;
import waytrestle.requests.IdempotencyStore.LookupResult;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.FunctionError;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.requests.RequestOutcome.Rejected;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * The requests in flight and the clients that wait for them: each client gets one response before
 * its deadline and none after. Requests with the same idempotency key are joined.
 *
 * <p>Front ends bring the clients; the controller brings what the scheduler decided and how
 * attempts ended. Where a request runs and whether it is rejected is decided by the scheduler; this
 * class only decides which client gets which outcome.
 *
 * <p>Free of I/O, clock and threads. Not thread-safe: used by the controller's event loop. A
 * command may lead to further events before {@link #handle} returns.
 */
public final class PendingRequests {
    /**
     * Time left, in scheduler ticks, at or below which a request counts as expired. The scheduler
     * ends a request one tick before its deadline, so one tick more covers every outcome that comes
     * of that.
     */
    private static final long EXPIRY_MARGIN_TICKS = 2;

    /**
     * Retry-After of a request that admission control rejected: two adjustment steps of the
     * concurrency limit, so that the retry meets another state.
     */
    private static final long ADMISSION_RETRY_AFTER_MICROS = 500_000;

    /** What happens to pending requests. */
    public sealed interface Event {}

    /** What happens to one request; ignored when that request is no longer in flight. */
    public sealed interface RequestEvent extends Event {
        /** The request's number, as given by {@link StartRequest}. */
        long requestId();
    }

    /**
     * A client with its request.
     *
     * @param idempotencyKey null for a request that is never joined or remembered
     */
    public record RequestArrived(
            long clientId,
            int requestClass,
            int tenant,
            long retryFingerprint,
            KeyedRequest idempotencyKey,
            long timeLeftMicros)
            implements Event {}

    /** The connection of a waiting client was closed. */
    public record ClientDisconnected(long clientId) implements Event {}

    /** An attempt of the request was handed over to be sent; it may still be withdrawn. */
    public record AttemptForwarded(long requestId, int attempt) implements RequestEvent {}

    /** A forwarded attempt waits for its connection: nothing of it has been written so far. */
    public record AttemptWaiting(long requestId, int attempt) implements RequestEvent {}

    /** The first byte of a forwarded attempt may be written from now on. */
    public record AttemptSent(long requestId, int attempt) implements RequestEvent {}

    /**
     * An attempt ended.
     *
     * @param outcome {@link RequestOutcome.Served} for the function's response, {@link
     *     FunctionError} for its own error (the outcome of the request if nothing better follows),
     *     null without either
     * @param endsRequest whether the request ends with this attempt
     * @param responseText HTTP status of the response, or a word in place of one
     */
    public record AttemptCompleted(
            long requestId,
            int attempt,
            ResponseCode code,
            RequestOutcome outcome,
            boolean endsRequest,
            String responseText)
            implements RequestEvent {}

    /**
     * The scheduler rejected the request.
     *
     * @param estimateMicros expected time to the response that led to the rejection, negative if
     *     there was another reason
     */
    public record SchedulerRejectedRequest(
            long requestId, long retryAfterMicros, long estimateMicros) implements RequestEvent {
        boolean hasEstimate() {
            return estimateMicros >= 0;
        }
    }

    /** No invoker knows the function. */
    public record FunctionNotFound(long requestId) implements RequestEvent {}

    /** The circuit of the function is open: the request never reached the scheduler. */
    public record CircuitRejectedRequest(
            long requestId, String lastResponseText, long retryAfterMicros)
            implements RequestEvent {}

    /** The scheduler gave the request up. */
    public record SchedulerFailedRequest(long requestId) implements RequestEvent {}

    /** The scheduler threw an exception on an event of this request. */
    public record SchedulerThrew(long requestId) implements RequestEvent {}

    /** The timer of an earlier {@link SetDeadlineTimer} has expired. */
    public record DeadlineExpired(long clientId) implements Event {}

    /** No further requests are accepted. */
    public record ShutdownStarted() implements Event {}

    /** The grace period of the shutdown is over: requests still in flight end now. */
    public record ShutdownGraceExpired() implements Event {}

    /** What the controller is to do. */
    public sealed interface Command {}

    /** Send the client its one response. */
    public record RespondToClient(long clientId, RequestOutcome outcome) implements Command {}

    /** What a request that came again got; sent before anything else is done about it. */
    public enum RepeatKind {
        /** The first is in flight: both get its outcome. */
        JOINED,
        /** It gets the outcome of the first, or the reason why it is not run again. */
        ANSWERED
    }

    /** A request that came again was recognised; for logs alone. */
    public record ReportRepeat(long clientId, RepeatKind kind) implements Command {}

    /** Give a new request to the scheduler. */
    public record StartRequest(long requestId, long clientId, long timeLeftMicros)
            implements Command {}

    /** Notify the scheduler that nobody waits for the request any more. */
    public record AbandonRequest(long requestId) implements Command {}

    /** Return a {@link DeadlineExpired} after the given time. */
    public record SetDeadlineTimer(long clientId, long afterMicros) implements Command {}

    /** Carries out commands, in order and at once. */
    public interface CommandSink {
        /** Carries out one command. */
        void add(Command command);
    }

    private final List<RequestClass> requestClasses;
    private final int maxInFlight;
    private final long tickMicros;
    private final long expiryMarginMicros;
    private final IdempotencyStore idempotencyStore;
    private final AdmissionControl admissionControl;
    private final boolean cancelsAttempts;
    private final OutcomeFactory outcomes;
    private final Map<Long, WaitingClient> clients = new HashMap<>();
    private final Map<Long, PendingRequest> inFlight = new HashMap<>();
    private long lastRequestId;
    private boolean shuttingDown;
    private long now;
    private CommandSink commands;

    /**
     * Creates it without any request.
     *
     * @param tickMicros the scheduler's tick
     * @param cancelsAttempts whether attempts can be cancelled; where not, a request whose clients
     *     have left stays in flight while an attempt is, for repeats to join
     */
    public PendingRequests(
            List<RequestClass> requestClasses,
            int maxInFlight,
            long tickMicros,
            IdempotencyStore idempotencyStore,
            AdmissionControl admissionControl,
            boolean cancelsAttempts) {
        this.requestClasses = requestClasses;
        this.maxInFlight = maxInFlight;
        this.tickMicros = tickMicros;
        this.expiryMarginMicros = EXPIRY_MARGIN_TICKS * tickMicros;
        this.idempotencyStore = idempotencyStore;
        this.admissionControl = admissionControl;
        this.cancelsAttempts = cancelsAttempts;
        this.outcomes = new OutcomeFactory(new ReasonSelector(expiryMarginMicros));
    }

    /** Number of requests in flight. */
    public int inFlight() {
        return inFlight.size();
    }

    /** Number of clients that wait for a response. */
    public int waitingClients() {
        return clients.size();
    }

    /** The store of idempotency keys that it works with. */
    public IdempotencyStore idempotencyStore() {
        return idempotencyStore;
    }

    /**
     * Whether a response code proves that the attempt never ran; the same as {@link
     * ResponseCode#provesNotRun}.
     */
    public static boolean provesNotRun(ResponseCode code) {
        return code.provesNotRun();
    }

    /**
     * Handles one event.
     *
     * @param nowMicros monotonic time
     * @param wallSeconds wall-clock time, for the signing times of requests only
     */
    public void handle(long nowMicros, long wallSeconds, Event event, CommandSink sink) {
        now = nowMicros;
        commands = sink;
        if (event instanceof RequestArrived arrived) {
            requestArrived(arrived, wallSeconds);
        } else if (event instanceof ClientDisconnected disconnected) {
            clientDisconnected(clients.get(disconnected.clientId()));
        } else if (event instanceof DeadlineExpired expired) {
            deadlineExpired(clients.get(expired.clientId()));
        } else if (event instanceof ShutdownStarted) {
            shuttingDown = true;
        } else if (event instanceof ShutdownGraceExpired) {
            shutdownGraceExpired();
        } else if (event instanceof RequestEvent requestEvent) {
            PendingRequest request = inFlight.get(requestEvent.requestId());
            if (request != null) {
                handle(request, requestEvent);
            }
        }
    }

    private void handle(PendingRequest request, RequestEvent event) {
        if (event instanceof AttemptForwarded forwarded) {
            request.attempts.recordForwarded(forwarded.attempt(), now);
        } else if (event instanceof AttemptWaiting waiting) {
            request.attempts.recordWaiting(waiting.attempt());
        } else if (event instanceof AttemptSent sent) {
            request.attempts.recordSent(sent.attempt());
        } else if (event instanceof AttemptCompleted completed) {
            attemptCompleted(request, completed);
        } else if (event instanceof SchedulerRejectedRequest rejected) {
            complete(request, outcomes.schedulerRejection(request, rejected, now));
        } else if (event instanceof SchedulerFailedRequest) {
            complete(request, outcomes.failure(request, now));
        } else if (event instanceof SchedulerThrew) {
            complete(request, outcomes.failure(request, Reason.INTERNAL_ERROR));
        } else if (event instanceof FunctionNotFound) {
            complete(request, outcomes.failure(request, Reason.FUNCTION_NOT_FOUND));
        } else if (event instanceof CircuitRejectedRequest rejected) {
            complete(request, outcomes.circuitRejection(rejected));
        }
    }

    private void requestArrived(RequestArrived event, long wallSeconds) {
        LookupResult known = lookUp(event, wallSeconds);
        if (known instanceof LookupResult.Completed completed) {
            commands.add(new ReportRepeat(event.clientId(), RepeatKind.ANSWERED));
            respond(event.clientId(), completed.outcome());
        } else if (known instanceof LookupResult.InFlight duplicate) {
            commands.add(new ReportRepeat(event.clientId(), RepeatKind.JOINED));
            joinInFlight(event, inFlight.get(duplicate.requestId()));
        } else if (known instanceof LookupResult.NewRequest newRequest) {
            startIfAdmitted(event, newRequest);
        }
    }

    private LookupResult lookUp(RequestArrived event, long wallSeconds) {
        if (event.idempotencyKey() == null) {
            return new LookupResult.NewRequest(LookupResult.NewRequest.NO_LIMIT);
        }
        return idempotencyStore.lookUp(now, wallSeconds, event.idempotencyKey());
    }

    private void joinInFlight(RequestArrived event, PendingRequest request) {
        if (isExpired(event.timeLeftMicros())) {
            Idempotency idempotency = event.idempotencyKey().idempotency();
            boolean idempotent = idempotency == Idempotency.IDEMPOTENT;
            respond(event.clientId(), outcomes.stillInFlight(idempotent));
            return;
        }
        addClient(event, request);
    }

    private void startIfAdmitted(RequestArrived event, LookupResult.NewRequest newRequest) {
        Rejected rejection = rejectionOnArrival(event);
        if (rejection != null) {
            respond(event.clientId(), rejection);
            return;
        }
        long deadline = now + event.timeLeftMicros();
        if (newRequest.isLimited()) {
            deadline = Math.min(deadline, newRequest.deduplicatedUntilMicros());
        }
        RequestClass requestClass = requestClasses.get(event.requestClass());
        PendingRequest request = new PendingRequest(++lastRequestId, deadline, requestClass, event);
        inFlight.put(request.id, request);
        admissionControl.requestStarted(now, event.tenant(), event.requestClass());
        if (event.idempotencyKey() != null) {
            idempotencyStore.requestStarted(request.id, event.idempotencyKey());
        }
        addClient(event, request);
        commands.add(new StartRequest(request.id, event.clientId(), request.deadlineMicros - now));
    }

    /** Why a new request is rejected before the scheduler sees it, or null if it is admitted. */
    private Rejected rejectionOnArrival(RequestArrived event) {
        if (isExpired(event.timeLeftMicros())) {
            return new Rejected(Reason.NO_FINISH_IN_TIME, 0);
        }
        if (shuttingDown) {
            return new Rejected(Reason.SHUTTING_DOWN, 0);
        }
        if (inFlight.size() >= maxInFlight) {
            return new Rejected(Reason.TOO_MANY_IN_FLIGHT, 0);
        }
        Reason reason =
                admissionControl.rejectionReason(
                        now, event.tenant(), event.requestClass(), event.retryFingerprint());
        return reason == null ? null : new Rejected(reason, ADMISSION_RETRY_AFTER_MICROS);
    }

    private void addClient(RequestArrived event, PendingRequest request) {
        WaitingClient client = new WaitingClient(event.clientId(), request);
        clients.put(client.id(), client);
        request.clients.add(client);
        // The first client's timer is only a backstop behind the scheduler's own deadline; a client
        // that joined may have less time than the request and is answered before it runs out.
        boolean joined = request.clients.size() > 1;
        long marginMicros = joined ? expiryMarginMicros : tickMicros / 2;
        long afterMicros = Math.max(0, event.timeLeftMicros() - marginMicros);
        commands.add(new SetDeadlineTimer(client.id(), afterMicros));
    }

    /**
     * Responds to a client whose time is nearly up. One that joined may have less time than its
     * request, which then continues for the others. The request itself expires here only if the
     * scheduler has not ended it in time: the backstop for a failed decision or a stalled process.
     */
    private void deadlineExpired(WaitingClient client) {
        if (client == null) {
            return;
        }
        PendingRequest request = client.request();
        if (request.clients.size() == 1 && isExpired(request.deadlineMicros - now)) {
            commands.add(new AbandonRequest(request.id));
            complete(request, outcomes.failure(request, Reason.DEADLINE_EXCEEDED));
            return;
        }
        removeClient(client);
        respond(client.id(), outcomes.stillInFlight(request.isIdempotent()));
        if (request.clients.isEmpty()) {
            abandon(request);
        }
    }

    private void clientDisconnected(WaitingClient client) {
        if (client == null) {
            return;
        }
        removeClient(client);
        PendingRequest request = client.request();
        if (!request.clients.isEmpty()) {
            return;
        }
        if (cancelsAttempts || !request.attempts.anyMayStillRun()) {
            abandon(request);
        } else if (!request.detached) {
            // Guards against a repeat that runs beside the attempt which its client left behind:
            // the request stays in flight, so that the repeat joins it.
            request.detached = true;
            commands.add(new AbandonRequest(request.id));
        }
    }

    private void removeClient(WaitingClient client) {
        clients.remove(client.id());
        client.request().clients.remove(client);
    }

    private void attemptCompleted(PendingRequest request, AttemptCompleted event) {
        AttemptLog attempts = request.attempts;
        attempts.recordResponse(event.code(), event.responseText());
        if (!attempts.isInFlight(event.attempt())) {
            return; // It was withheld: nothing was sent to an invoker.
        }
        if (event.code() == ResponseCode.OK) {
            complete(request, event.outcome());
            return;
        }
        FunctionError error = event.outcome() instanceof FunctionError own ? own : null;
        attempts.recordFailure(event.attempt(), event.code(), error);
        if (request.detached) {
            detachedAttemptFailed(request);
        } else if (event.endsRequest() && event.code() == ResponseCode.NOT_LOADED) {
            complete(request, outcomes.failure(request, Reason.FUNCTION_NOT_FOUND));
        } else if (event.endsRequest()) {
            complete(request, outcomes.failure(request, now));
        }
    }

    /**
     * Ends a detached request with its last attempt; clients that have joined it since get what
     * came of that.
     */
    private void detachedAttemptFailed(PendingRequest request) {
        if (request.attempts.anyInFlight()) {
            return;
        }
        if (request.clients.isEmpty()) {
            close(request, outcomes.abandonment(request));
        } else {
            complete(request, outcomes.detachedCompletion(request, now));
        }
    }

    private void shutdownGraceExpired() {
        for (PendingRequest request : List.copyOf(inFlight.values())) {
            commands.add(new AbandonRequest(request.id));
            complete(request, outcomes.shutdown(request, now));
        }
    }

    /** Ends a request that nobody waits for; a repeat depends on whether it may have run. */
    private void abandon(PendingRequest request) {
        close(request, outcomes.abandonment(request));
        commands.add(new AbandonRequest(request.id));
    }

    /** Ends a request and gives its outcome to all its clients. */
    private void complete(PendingRequest request, RequestOutcome outcome) {
        close(request, outcome);
        for (WaitingClient client : request.clients) {
            clients.remove(client.id());
            respond(client.id(), outcome);
        }
        request.clients.clear();
    }

    private void close(PendingRequest request, RequestOutcome outcome) {
        inFlight.remove(request.id);
        RequestArrived arrival = request.arrival;
        admissionControl.requestCompleted(
                now,
                arrival.tenant(),
                arrival.requestClass(),
                arrival.retryFingerprint(),
                outcome instanceof Rejected,
                isTimeout(outcome));
        idempotencyStore.requestCompleted(
                now, request.id, outcome, request.attempts.mayHaveRunSinceMicros());
    }

    private void respond(long clientId, RequestOutcome outcome) {
        commands.add(new RespondToClient(clientId, outcome));
    }

    private boolean isExpired(long timeLeftMicros) {
        return timeLeftMicros <= expiryMarginMicros;
    }

    private static boolean isTimeout(RequestOutcome outcome) {
        return outcome instanceof Failed failed && failed.reason() == Reason.DEADLINE_EXCEEDED;
    }
}
