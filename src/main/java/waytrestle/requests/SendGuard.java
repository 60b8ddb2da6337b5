package waytrestle.requests;

import java.util.EnumMap;
import java.util.Map;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * Makes the final check of every attempt right before its first byte is written on a connection,
 * and of every rejection before it is sent to its client. The guard checks against the attempts
 * that were really sent that no effect is doubled, and counts what it refuses. The scheduler
 * decides by equal rules, so a refusal because of a possible effect is a violation, that is, a
 * defect of this program.
 *
 * <p>Does no I/O and reads no clock; times are monotonic, in microseconds. Not thread-safe: used by
 * the controller's event loop.
 */
public final class SendGuard {
    /** Why an attempt, a preload request or a rejection is not sent. */
    public enum Refusal {
        /** No client waits for the response any more. */
        CLIENT_GONE(false),
        /** The invoker has stopped being ready since the scheduler's decision. */
        INVOKER_NOT_READY(false),
        /** The readiness lease of the invoker has expired. */
        READINESS_EXPIRED(false),
        /** Another attempt of a non-idempotent request may have run. */
        MAY_HAVE_RUN(true),
        /**
         * Another attempt of a keyed request may have run, and its deduplication window is over.
         */
        WINDOW_PASSED(true),
        /**
         * Another attempt of a keyed request may have run at an invoker outside the deduplication
         * scope of this one, which therefore would not drop the duplicate.
         */
        OTHER_GROUP(true),
        /** The request to be rejected may have run, so a retry by its client is not harmless. */
        REJECTED_AFTER_EFFECT(true);

        private final boolean violation;

        Refusal(boolean violation) {
            this.violation = violation;
        }

        /** Returns whether the refusal shows a defect in the decision that led to the send. */
        public boolean isViolation() {
            return violation;
        }
    }

    /**
     * An attempt about to be written.
     *
     * @param attempt number of the attempt within its request
     * @param zone zone of the invoker
     * @param cell cell of the invoker
     * @param invokerReady whether the invoker has not stopped being ready since the scheduler's
     *     decision
     * @param readinessLeaseValid whether the invoker's readiness was confirmed recently enough
     */
    public record SendIntent(
            RequestClass requestClass,
            int attempt,
            int zone,
            int cell,
            boolean clientIsWaiting,
            boolean invokerReady,
            boolean readinessLeaseValid,
            long nowMicros) {}

    /** Stands for a missing attempt number: no attempt is exempt from the check. */
    private static final int NO_EXEMPT_ATTEMPT = -1;

    private final Map<Refusal, Long> counts = new EnumMap<>(Refusal.class);

    /**
     * Returns why an attempt may not be written, or null if it may. An attempt that may be written
     * is recorded as sent in the history; a refusal is counted.
     */
    public Refusal checkSend(SendHistory history, SendIntent intent) {
        Refusal refusal = refusalOf(history, intent);
        if (refusal == null) {
            history.recordSent(intent);
        } else {
            count(refusal);
        }
        return refusal;
    }

    private static Refusal refusalOf(SendHistory history, SendIntent intent) {
        if (!intent.clientIsWaiting()) {
            return Refusal.CLIENT_GONE;
        }
        if (!intent.invokerReady()) {
            return Refusal.INVOKER_NOT_READY;
        }
        if (!intent.readinessLeaseValid()) {
            return Refusal.READINESS_EXPIRED;
        }
        SendHistory.SentAttempt other = history.firstThatMayHaveRun(intent.attempt());
        if (other == null) {
            return null;
        }
        return switch (intent.requestClass().idempotency()) {
            case IDEMPOTENT -> null;
            case NON_IDEMPOTENT -> Refusal.MAY_HAVE_RUN;
            case KEYED -> refusalOfKeyed(other, intent);
        };
    }

    private static Refusal refusalOfKeyed(SendHistory.SentAttempt other, SendIntent intent) {
        RequestClass requestClass = intent.requestClass();
        long windowEndMicros = other.sentAtMicros + requestClass.deduplicationWindowMicros();
        if (intent.nowMicros() > windowEndMicros) {
            return Refusal.WINDOW_PASSED;
        }
        boolean isInDeduplicationScope =
                switch (requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> other.zone == intent.zone();
                    case CELL -> other.cell == intent.cell();
                };
        return isInDeduplicationScope ? null : Refusal.OTHER_GROUP;
    }

    /**
     * Returns why a preload request may not be written, or null if it may; counts a refusal.
     *
     * @param invokerReady whether the invoker has not stopped being ready since the scheduler's
     *     decision
     * @param readinessLeaseValid whether the invoker's readiness was confirmed recently enough
     */
    public Refusal checkPreload(boolean invokerReady, boolean readinessLeaseValid) {
        if (invokerReady && readinessLeaseValid) {
            return null;
        }
        Refusal refusal = invokerReady ? Refusal.READINESS_EXPIRED : Refusal.INVOKER_NOT_READY;
        count(refusal);
        return refusal;
    }

    /**
     * Returns whether a request may be rejected, that is, whether a retry by its client is
     * harmless; counts a refusal.
     */
    public boolean mayReject(SendHistory history, RequestClass requestClass) {
        boolean allInvokersDeduplicate =
                requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
        boolean isRetryHarmless =
                requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || allInvokersDeduplicate
                        || history.firstThatMayHaveRun(NO_EXEMPT_ATTEMPT) == null;
        if (!isRetryHarmless) {
            count(Refusal.REJECTED_AFTER_EFFECT);
        }
        return isRetryHarmless;
    }

    private void count(Refusal refusal) {
        counts.merge(refusal, 1L, Long::sum);
    }

    /** Returns the number of refusals by reason; reasons that never occurred are missing. */
    public Map<Refusal, Long> counts() {
        return counts;
    }

    /** Returns the number of refusals that were violations. */
    public long violations() {
        return counts.entrySet().stream()
                .filter(entry -> entry.getKey().isViolation())
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
