package waytrestle.scheduler;

import waytrestle.scheduler.SchedulerCommand.CancelAttempt;

/**
 * Keeps requests away from invokers that cannot be reached, reset connections, are at capacity or
 * no longer respond.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class InvokerBackoff {
    /** Pause after the first failed connection; doubles with each further failure in a row. */
    private static final long BACKOFF_MICROS = 300_000;

    /** Longest pause; about the time that a restart takes. */
    private static final long MAX_BACKOFF_MICROS = 4_000_000;

    /**
     * Backoff after the first full response; shorter than a usual run, and doubles with each
     * further full response in a row.
     */
    private static final long FULL_BACKOFF_MICROS = 80_000;

    /** Longest backoff after full responses; a queue drains within a few runs. */
    private static final long MAX_FULL_BACKOFF_MICROS = 600_000;

    /** Doublings after which both backoffs have reached their longest. */
    private static final int MAX_DOUBLINGS = 6;

    /** Least time without a response that counts as silence; several runs, not one slow request. */
    private static final long MIN_SILENCE_MICROS = 400_000;

    /**
     * Average run times without a response that count as silence; hardly chance for two attempts.
     */
    private static final double SILENCE_RUNS = 8;

    /** Warm attempts in flight from which on silence counts; a single one may just take long. */
    private static final int SILENCE_ATTEMPTS = 2;

    /** Longest time between the resets that one ending process causes. */
    private static final long SIMULTANEOUS_MICROS = 50_000;

    /** Probability below which resets in a row are not taken for chance. */
    private static final double RESET_CHANCE = 0.002;

    private final SchedulerState state;

    InvokerBackoff(SchedulerState state) {
        this.state = state;
    }

    /**
     * Returns whether the invoker may be sent nothing now. After a pause it may be sent one attempt
     * at a time, until it responds.
     */
    boolean isPaused(InvokerState invoker) {
        return state.now < invoker.pausedUntil
                || (invoker.consecutiveFailures > 0 && invoker.inFlight > 0);
    }

    /**
     * Pauses the invoker after a failed connection or after resets.
     *
     * @param processEnded whether its process has presumably ended; the invoker's instances are
     *     then forgotten, and it counts as just started
     */
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
     * Records a reset connection, and pauses the invoker after so many in a row that, by the share
     * of resets at all invokers, they are hardly chance. The process is taken for ended only if all
     * its attempts were reset at once, because an invoker that counts as just started is sent very
     * little until its slow start is over.
     */
    void recordReset(InvokerState invoker) {
        long sinceLast = state.now - invoker.lastResetAt;
        boolean simultaneous = sinceLast <= SIMULTANEOUS_MICROS && invoker.inFlight == 0;
        invoker.lastResetAt = state.now;
        invoker.consecutiveResets++;
        double resetShare = Math.max(RESET_CHANCE, state.resetShare);
        if (invoker.consecutiveResets
                >= Math.max(2, Math.log(RESET_CHANCE) / Math.log(resetShare))) {
            pause(invoker, simultaneous);
        }
    }

    /**
     * Records a full response. After a cold attempt, the invoker is sent no loads for the backoff.
     * After a warm attempt, the rest of the backoff counts as time in the invoker's queue, so that
     * waiting is weighed against a load elsewhere: a load at every full response would congest the
     * function store.
     */
    void recordFullResponse(InvokerState invoker, boolean cold) {
        int doublings = Math.min(MAX_DOUBLINGS, invoker.consecutiveFullResponses++);
        long backoff = Math.min(MAX_FULL_BACKOFF_MICROS, FULL_BACKOFF_MICROS << doublings);
        long backoffEnd = state.now + backoff;
        if (cold) {
            invoker.noLoadsUntil = backoffEnd;
        } else {
            invoker.fullUntil = backoffEnd;
        }
    }

    /**
     * Pauses an invoker that accepts requests and no longer responds, such as a machine or zone cut
     * off from the network, and cancels its idempotent attempts so that their requests are routed
     * anew. Silence counts when it lasts far longer than a run with several warm attempts in
     * flight, or with one after a failed connection.
     *
     * <p>Drawback: the work of an invoker that only stalls is lost. Applies only where invokers
     * send not-loaded responses: otherwise silent attempts may wait for a load.
     */
    void checkSilence(InvokerState invoker) {
        double silenceMicros =
                SILENCE_RUNS * state.averageRunMicros * Math.max(1, invoker.slowness);
        boolean silent =
                state.now - invoker.silentSince > Math.max(MIN_SILENCE_MICROS, silenceMicros);
        boolean afterFailure = invoker.warmInFlight > 0 && invoker.consecutiveFailures > 0;
        boolean enoughAttempts = invoker.warmInFlight >= SILENCE_ATTEMPTS || afterFailure;
        boolean silenceIsConclusive = state.settings.preloading().reportsNotLoaded();
        if (enoughAttempts
                && silent
                && silenceIsConclusive
                && state.settings.limits().mayCancel()) {
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
            boolean inFlightThere = !attempt.completed && attempt.invoker == invoker;
            if (inFlightThere && state.now - attempt.sentAt > MIN_SILENCE_MICROS) {
                state.commands.add(new CancelAttempt(request.id, i));
            }
        }
    }
}
