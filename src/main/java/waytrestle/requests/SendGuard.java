package waytrestle.requests;

import java.util.EnumMap;
import java.util.Map;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * The one place that every attempt has to pass right before its first byte is written, on whatever
 * connection, and every rejection before it is given to its client. It holds the rules on effects
 * against what was really sent, whatever led to the send, and counts what it refuses. The scheduler
 * decides by the same rules, so a refusal for an effect is a violation: a fault of this program.
 *
 * <p>Free of I/O and clock. Not thread-safe: used by the controller's event loop.
 */
public final class SendGuard {
    /** Why something is not sent. */
    public enum Refusal {
        /** Nobody waits for the response any more. */
        CLIENT_GONE(false),
        /** The invoker stopped being ready since the decision. */
        INVOKER_NOT_READY(false),
        /** What is known of the invoker's readiness has become too old. */
        READINESS_EXPIRED(false),
        /** Another attempt of an unsafe request may have run. */
        MAY_HAVE_RUN(true),
        /** Another attempt may have run, and invokers no longer drop its duplicates. */
        WINDOW_PASSED(true),
        /** Another attempt may have run where its duplicates are not dropped here. */
        OTHER_GROUP(true),
        /** A rejection of a request that may have run: it promises that a retry does no harm. */
        REJECTED_AFTER_EFFECT(true);

        private final boolean violation;

        Refusal(boolean violation) {
            this.violation = violation;
        }

        /** Whether it should never have come to the guard. */
        public boolean isViolation() {
            return violation;
        }
    }

    /**
     * An attempt about to be written.
     *
     * @param attempt its number within the request
     * @param zone of its invoker
     * @param cell of its invoker
     * @param readinessLeaseValid whether the invoker's readiness was confirmed lately enough
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

    /** In place of an attempt's number: all of them are looked at. */
    private static final int NO_ATTEMPT = -1;

    private final Map<Refusal, Long> counts = new EnumMap<>(Refusal.class);

    /** Why the attempt may not be written, or null: then it counts as sent from now on. */
    public Refusal checkSend(SendHistory history, SendIntent intent) {
        Refusal refusal = reasonAgainst(history, intent);
        if (refusal == null) {
            history.recordSent(intent);
        } else {
            count(refusal);
        }
        return refusal;
    }

    private static Refusal reasonAgainst(SendHistory history, SendIntent intent) {
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
            case KEYED -> reasonAgainstKeyed(other, intent);
        };
    }

    private static Refusal reasonAgainstKeyed(SendHistory.SentAttempt other, SendIntent intent) {
        RequestClass requestClass = intent.requestClass();
        long windowEnd = other.sentAtMicros + requestClass.deduplicationWindowMicros();
        if (intent.nowMicros() > windowEnd) {
            return Refusal.WINDOW_PASSED;
        }
        boolean sameGroup =
                switch (requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> other.zone == intent.zone();
                    case CELL -> other.cell == intent.cell();
                };
        return sameGroup ? null : Refusal.OTHER_GROUP;
    }

    /**
     * Why a preload request may not be written, or null.
     *
     * @param invokerReady whether the invoker has not stopped being ready since the decision
     * @param readinessKnown whether its readiness was confirmed lately enough
     */
    public Refusal checkPreload(boolean invokerReady, boolean readinessKnown) {
        if (invokerReady && readinessKnown) {
            return null;
        }
        Refusal refusal = invokerReady ? Refusal.READINESS_EXPIRED : Refusal.INVOKER_NOT_READY;
        count(refusal);
        return refusal;
    }

    /** Whether a rejection may be given, which promises that a retry does no harm. */
    public boolean mayReject(SendHistory history, RequestClass requestClass) {
        boolean allDeduplicate =
                requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
        boolean harmless =
                requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || allDeduplicate
                        || history.firstThatMayHaveRun(NO_ATTEMPT) == null;
        if (!harmless) {
            count(Refusal.REJECTED_AFTER_EFFECT);
        }
        return harmless;
    }

    private void count(Refusal refusal) {
        counts.merge(refusal, 1L, Long::sum);
    }

    /** How often each reason has held something back. */
    public Map<Refusal, Long> counts() {
        return counts;
    }

    /** How often the rules on effects would have been broken. */
    public long violations() {
        return counts.entrySet().stream()
                .filter(entry -> entry.getKey().isViolation())
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
