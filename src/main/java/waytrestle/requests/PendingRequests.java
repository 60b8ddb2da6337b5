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
 * Holds the requests in flight and the clients that wait for them, joins requests with equal
 * idempotency keys, and decides which client gets which outcome: each client gets one response
 * before its deadline and none afterwards. Front ends report arrivals of clients; the controller
 * reports the ends of attempts and the scheduler's decisions on invokers and rejections.
 *
 * <p>Does no I/O, reads no clock and starts no threads; times are monotonic, in microseconds,
 * unless their names say seconds. Not thread-safe: used by the controller's event loop. Carrying
 * out a command may cause further events before {@link #handle} returns.
 */
public final class PendingRequests {
    /**
     * Time left at or below which a request counts as expired: the scheduler ends it one tick
     * before its deadline, and the second tick covers the outcomes that follow from that end.
     */
    private static final long EXPIRY_MARGIN_TICKS = 2;

    /**
     * Retry-After of a request that admission control rejected: two adjustment periods of the
     * concurrency limit, so that the limit may have changed when the retry arrives.
     */
    private static final long ADMISSION_RETRY_AFTER_MICROS = 500_000;

    /** An event that concerns pending requests. */
    public sealed interface Event {}

    /** An event that concerns one request; ignored if the request is no longer in flight. */
    public sealed interface RequestEvent extends Event {
        /** Returns the id of the request, as given by {@link StartRequest}. */
        long requestId();
    }

    /**
     * A client sent a request. Class and tenant (-1: none) are indices in the scheduler settings.
     *
     * @param retryFingerprint recognises a client's retry of a rejected request; 0 for none
     * @param idempotencyKey null if no repeats join the request or get its stored outcome
     * @param timeLeftMicros time left until the client's deadline
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

    /** An attempt was handed over to be sent, and may still be withdrawn. */
    public record AttemptForwarded(long requestId, int attempt) implements RequestEvent {}

    /** A forwarded attempt waits for its connection, and nothing of it has been written yet. */
    public record AttemptWaiting(long requestId, int attempt) implements RequestEvent {}

    /** A forwarded attempt may be written to its connection from now on. */
    public record AttemptSent(long requestId, int attempt) implements RequestEvent {}

    /**
     * An attempt ended.
     *
     * @param outcome the function's response, or its own {@link FunctionErrorBody} (the outcome of
     *     the request if no later attempt is served); null if the function returned neither
     * @param endsRequest whether the request ends with the attempt
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
     * @param retryAfterMicros time after which the client may retry
     * @param estimateMicros estimated time to the response if it is the reason, else negative
     */
    public record SchedulerRejectedRequest(
            long requestId, long retryAfterMicros, long estimateMicros) implements RequestEvent {
        /** Returns whether the estimated time to the response is the reason. */
        boolean hasEstimate() {
            return estimateMicros >= 0;
        }
    }

    /** No invoker knows the function. */
    public record FunctionNotFound(long requestId) implements RequestEvent {}

    /**
     * The circuit breaker of the function is open, so the request was not given to the scheduler.
     *
     * @param lastResponseText HTTP status of the function's last response, or a word in its place
     */
    public record CircuitRejectedRequest(
            long requestId, String lastResponseText, long retryAfterMicros)
            implements RequestEvent {}

    /** The scheduler failed the request. */
    public record SchedulerFailedRequest(long requestId) implements RequestEvent {}

    /** The scheduler threw an exception while it handled an event of the request. */
    public record SchedulerThrew(long requestId) implements RequestEvent {}

    /** The timer set by a {@link SetDeadlineTimer} command has expired. */
    public record DeadlineExpired(long clientId) implements Event {}

    /** The controller has begun to shut down: new requests are rejected. */
    public record ShutdownStarted() implements Event {}

    /** The grace period of the shutdown is over: requests still in flight end at once. */
    public record ShutdownGraceExpired() implements Event {}

    /** A command to the controller. */
    public sealed interface Command {}

    /** Send the client its only response. */
    public record RespondToClient(long clientId, RequestOutcome outcome) implements Command {}

    /** How a repeat, that is, a request with a known idempotency key, is handled. */
    public enum RepeatKind {
        /** The first request is in flight, and the repeat gets its outcome. */
        JOINED,
        /** The repeat gets the outcome of the first request, or the reason why it is not run. */
        ANSWERED
    }

    /** Log that a repeat was recognised; precedes every other command for the repeat. */
    public record ReportRepeat(long clientId, RepeatKind kind) implements Command {}

    /** Give a new request to the scheduler. */
    public record StartRequest(long requestId, long clientId, long timeLeftMicros)
            implements Command {}

    /** Notify the scheduler that no client waits for the request any more. */
    public record AbandonRequest(long requestId) implements Command {}

    /** Send a {@link DeadlineExpired} event for the client after the given time. */
    public record SetDeadlineTimer(long clientId, long afterMicros) implements Command {}

    /** Carries out commands at once and in the order in which they are added. */
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

    /** Waiting clients, by client id. */
    private final Map<Long, WaitingClient> clients = new HashMap<>();

    /** Requests in flight, by request id. */
    private final Map<Long, PendingRequest> inFlight = new HashMap<>();

    private long lastRequestId;
    private boolean shuttingDown;

    /** Monotonic time of the event that is being handled, in microseconds. */
    private long now;

    /** Receives the commands of the event that is being handled. */
    private CommandSink commands;

    /**
     * Creates an instance without pending requests.
     *
     * @param maxInFlight number of requests in flight at which new requests are rejected
     * @param tickMicros length of the scheduler's tick
     * @param cancelsAttempts whether attempts can be cancelled; if not, a request without clients
     *     stays in flight as long as an attempt may run, so that repeats can join it
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

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return inFlight.size();
    }

    /** Returns the number of clients that wait for a response. */
    public int waitingClients() {
        return clients.size();
    }

    /** Returns the idempotency store in which requests are looked up and recorded. */
    public IdempotencyStore idempotencyStore() {
        return idempotencyStore;
    }

    /** Returns whether a response code proves that the attempt has not run. */
    public static boolean provesNotRun(ResponseCode code) {
        return code.provesNotRun();
    }

    /**
     * Handles one event and adds the commands that it causes to the sink.
     *
     * @param wallSeconds wall-clock time, used only to verify the signing times of requests
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
        LookupResult lookupResult = lookUp(event, wallSeconds);
        if (lookupResult instanceof LookupResult.Completed completed) {
            commands.add(new ReportRepeat(event.clientId(), RepeatKind.ANSWERED));
            respond(event.clientId(), completed.outcome());
        } else if (lookupResult instanceof LookupResult.InFlight duplicate) {
            commands.add(new ReportRepeat(event.clientId(), RepeatKind.JOINED));
            joinInFlight(event, inFlight.get(duplicate.requestId()));
        } else if (lookupResult instanceof LookupResult.NewRequest newRequest) {
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
        long deadlineMicros = now + event.timeLeftMicros();
        if (newRequest.isLimited()) {
            deadlineMicros = Math.min(deadlineMicros, newRequest.deduplicatedUntilMicros());
        }
        RequestClass requestClass = requestClasses.get(event.requestClass());
        PendingRequest request =
                new PendingRequest(++lastRequestId, deadlineMicros, requestClass, event);
        inFlight.put(request.id, request);
        admissionControl.requestStarted(now, event.tenant(), event.requestClass());
        if (event.idempotencyKey() != null) {
            idempotencyStore.requestStarted(request.id, event.idempotencyKey());
        }
        addClient(event, request);
        commands.add(new StartRequest(request.id, event.clientId(), request.deadlineMicros - now));
    }

    /** Returns the rejection of a new request, or null if the request is given to the scheduler. */
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
        // The first client's timer only takes effect if the scheduler has not ended the request. A
        // joined client may have less time than the request: its timer leaves time to respond.
        boolean joined = request.clients.size() > 1;
        long marginMicros = joined ? expiryMarginMicros : tickMicros / 2;
        long afterMicros = Math.max(0, event.timeLeftMicros() - marginMicros);
        commands.add(new SetDeadlineTimer(client.id(), afterMicros));
    }

    /**
     * Responds to a client whose deadline is near; null if it has its response or has disconnected.
     * The request continues for clients with later deadlines. The request itself expires here only
     * if the scheduler has not ended it in time, because a decision failed or the process stalled.
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

    /** Removes a client, null if answered; ends or detaches its request if no other one waits. */
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
            // An attempt may still run: stay in flight, so that a repeat joins instead of running.
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
            return; // The attempt was withheld: nothing of it was sent to an invoker.
        }
        if (event.code() == ResponseCode.OK) {
            complete(request, event.outcome());
            return;
        }
        FunctionError error =
                event.outcome() instanceof FunctionError functionError ? functionError : null;
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
     * Ends a detached request if no attempt of it is in flight any more; clients that have joined
     * it since it was detached get an outcome that reflects the last attempt.
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

    /** Ends a request for which no client waits, and notifies the scheduler. */
    private void abandon(PendingRequest request) {
        close(request, outcomes.abandonment(request));
        commands.add(new AbandonRequest(request.id));
    }

    /** Ends a request and sends its outcome to all its clients. */
    private void complete(PendingRequest request, RequestOutcome outcome) {
        close(request, outcome);
        for (WaitingClient client : request.clients) {
            clients.remove(client.id());
            respond(client.id(), outcome);
        }
        request.clients.clear();
    }

    /** Takes a request out of flight; reports its outcome to admission control and the store. */
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
