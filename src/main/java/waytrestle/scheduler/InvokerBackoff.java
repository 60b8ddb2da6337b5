package waytrestle.scheduler;

import waytrestle.scheduler.SchedulerCommand.CancelAttempt;

/** Keeps requests away from invokers that cannot be reached, reset, are full or fall silent. */
final class InvokerBackoff {
    private static final long BACKOFF_MICROS = 300_000; // first after a failed connection; doubles
    private static final long MAX_BACKOFF_MICROS = 4_000_000; // about a restart
    private static final long FULL_BACKOFF_MICROS = 80_000; // less than a run; doubles in a row
    private static final long MAX_FULL_BACKOFF_MICROS = 600_000; // a few runs drain a queue
    private static final int MAX_DOUBLINGS = 6; // by then each backoff is at its longest
    private static final long MIN_SILENCE_MICROS = 400_000; // some runs, not one slow request
    private static final double SILENCE_RUNS = 8; // usual runs: hardly chance with several attempts
    private static final int SILENCE_ATTEMPTS = 2; // warm ones in flight; one may just be long
    private static final long SIMULTANEOUS_MICROS = 50_000; // resets of one process that ends
    private static final double RESET_CHANCE = 0.002; // so rarely may resets in a row be chance

    private final SchedulerState state;

    InvokerBackoff(SchedulerState state) {
        this.state = state;
    }

    /** A paused invoker is left alone; after the pause one attempt at a time tries it. */
    boolean isPaused(InvokerState invoker) {
        return state.now < invoker.pausedUntil
                || (invoker.consecutiveFailures > 0 && invoker.inFlight > 0);
    }

    /** A refused connection, or broken ones: where the process has ended, all it held is gone. */
    void pause(InvokerState invoker, boolean processEnded) {
        invoker.consecutiveFailures++;
        if (processEnded) {
            if (!invoker.processEnded) {
                invoker.clearInstances();
            }
            invoker.processEnded = true;
            invoker.slowStartSince = state.now;
        }
        int doublings = Math.min(MAX_DOUBLINGS, invoker.consecutiveFailures - 1);
        long backoff = Math.min(MAX_BACKOFF_MICROS, BACKOFF_MICROS << doublings);
        invoker.pausedUntil = Math.max(invoker.pausedUntil, state.now + backoff);
    }

    /**
     * Guards against an invoker whose connections break, by how often they do everywhere: so many
     * in a row that chance would hardly bring them are worth a pause. Only where all attempts there
     * break at once has the process ended: an invoker taken for fresh gets next to nothing until it
     * has warmed up.
     */
    void recordReset(InvokerState invoker) {
        long sinceLast = state.now - invoker.lastResetAt;
        boolean simultaneous = sinceLast <= SIMULTANEOUS_MICROS && invoker.inFlight == 0;
        invoker.lastResetAt = state.now;
        invoker.consecutiveResets++;
        double usual = Math.max(RESET_CHANCE, state.resetShare);
        if (invoker.consecutiveResets >= Math.max(2, Math.log(RESET_CHANCE) / Math.log(usual))) {
            pause(invoker, simultaneous);
        }
    }

    /**
     * Full for a load blocks loads there; full for a warm instance adds its backoff to the
     * invoker's queue term, so that waiting is weighed against a load elsewhere: loads begun at
     * every full response congest the function store.
     */
    void recordFullResponse(InvokerState invoker, boolean cold) {
        int doublings = Math.min(MAX_DOUBLINGS, invoker.consecutiveFullResponses++);
        long backoff = Math.min(MAX_FULL_BACKOFF_MICROS, FULL_BACKOFF_MICROS << doublings);
        long until = state.now + backoff;
        if (cold) {
            invoker.noLoadsUntil = until;
        } else {
            invoker.fullUntil = until;
        }
    }

    /**
     * Guards requests against an invoker that takes them and gives no sign (a machine or zone cut
     * off): with several in flight, or after a failed connection, silence far beyond their run is
     * not theirs. What is idempotent is taken back and estimated anew. It can hurt where an invoker
     * only stalls: its work is lost; and where requests wait for loads at invokers silence says
     * nothing, so only where not-loaded responses are sent.
     */
    void checkSilence(InvokerState invoker) {
        double runs = SILENCE_RUNS * state.averageRunMicros * Math.max(1, invoker.slowness);
        boolean quiet = state.now - invoker.silentSince > Math.max(MIN_SILENCE_MICROS, runs);
        boolean failing = invoker.warmInFlight > 0 && invoker.consecutiveFailures > 0;
        boolean several = invoker.warmInFlight >= SILENCE_ATTEMPTS || failing;
        boolean conclusive = state.settings.preloading().reportsNotLoaded();
        if (several && quiet && conclusive && state.settings.limits().mayCancel()) {
            invoker.silentSince = state.now;
            pause(invoker, false);
            state.requests.values().forEach(request -> cancelSilentAttempts(request, invoker));
        }
    }

    private void cancelSilentAttempts(RequestState request, InvokerState invoker) {
        boolean idempotent = request.requestClass.idempotency() == Idempotency.IDEMPOTENT;
        if (request.completed || request.streaming || !idempotent) {
            return;
        }
        for (int i = 0; i < request.attempts.size(); i++) {
            AttemptState attempt = request.attempts.get(i);
            boolean there = !attempt.completed && attempt.invoker == invoker;
            if (there && state.now - attempt.sentAt > MIN_SILENCE_MICROS) {
                state.commands.add(new CancelAttempt(request.id, i));
            }
        }
    }
}
