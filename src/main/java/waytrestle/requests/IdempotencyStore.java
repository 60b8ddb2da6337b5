package waytrestle.requests;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.requests.RequestOutcome.Rejected;
import waytrestle.scheduler.Idempotency;

/**
 * The idempotency keys of recent requests, so that a repeated request is not run again. While the
 * first request is in flight a repeat joins it; after an outcome that may have run the repeat gets
 * the same outcome; after a rejection it is a new request.
 *
 * <p>Bounded in entries and bytes. At the bound, completed idempotent requests are evicted first
 * with their entries (running them again does no harm), then the responses of other requests, whose
 * entries stay (a repeat is notified that it was served). The entry of a request that must not run
 * twice is never evicted early: when only such entries are left, new requests are rejected.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class IdempotencyStore {
    private static final long MICROS_PER_SECOND = 1_000_000;

    /**
     * Retry-After when the store is full, as a fraction of the tolerance after which entries
     * expire: some of them have expired by then.
     */
    private static final long FULL_RETRY_AFTER_DIVISOR = 10;

    /**
     * The bounds of a store.
     *
     * @param signatureToleranceSeconds how far a signing time may lie from the wall clock, either
     *     way
     */
    public record Bounds(int maxEntries, long maxBytes, long signatureToleranceSeconds) {
        long toleranceMicros() {
            return signatureToleranceSeconds * MICROS_PER_SECOND;
        }
    }

    /**
     * A request with an idempotency key, as it arrives.
     *
     * @param deduplicationWindowMicros how long invokers drop duplicates of the key
     * @param signedAtSeconds wall-clock time at which the client signed it, {@link #UNSIGNED} where
     *     the protocol has no signatures: then a key is new whenever it is not known, and is
     *     forgotten by the monotonic clock alone
     */
    public record KeyedRequest(
            String key,
            Idempotency idempotency,
            long deduplicationWindowMicros,
            long signedAtSeconds,
            long payloadDigest) {
        /** In place of a signing time. */
        public static final long UNSIGNED = Long.MIN_VALUE;

        boolean isSigned() {
            return signedAtSeconds != UNSIGNED;
        }
    }

    /** What the store knows of a request that arrives. */
    public sealed interface LookupResult {
        /**
         * The request is to be run.
         *
         * @param deduplicatedUntilMicros when invokers cease to drop duplicates of an earlier
         *     request that may have run, {@link #NO_LIMIT} without one
         */
        record NewRequest(long deduplicatedUntilMicros) implements LookupResult {
            static final long NO_LIMIT = 0;

            boolean isLimited() {
                return deduplicatedUntilMicros > NO_LIMIT;
            }
        }

        /** The same request is in flight: join it. */
        record InFlight(long requestId) implements LookupResult {}

        /** The request is not to be run: this is its outcome. */
        record Completed(RequestOutcome outcome) implements LookupResult {}
    }

    private final Bounds bounds;
    private final Map<String, IdempotencyEntry> entries = new HashMap<>();
    private final Map<Long, IdempotencyEntry> inFlight = new HashMap<>();

    /** All completed entries, by time of completion. */
    private final Set<IdempotencyEntry> completed = new LinkedHashSet<>();

    /** Completed idempotent entries, by time of completion: may be evicted. */
    private final Set<IdempotencyEntry> evictable = new LinkedHashSet<>();

    /** Other completed entries whose responses may be evicted, by time of completion. */
    private final Set<IdempotencyEntry> evictableResponses = new LinkedHashSet<>();

    private long bytes;

    /** Wall-clock time: requests signed until then may have been forgotten. */
    private long forgottenUntilSeconds;

    /** Creates an empty store, which knows no request signed before now. */
    public IdempotencyStore(Bounds bounds, long wallSeconds) {
        this.bounds = bounds;
        this.forgottenUntilSeconds = wallSeconds;
    }

    /** Number of keys held. */
    public int size() {
        return entries.size();
    }

    /** Number of outcomes held, never more than the keys. */
    int completedEntries() {
        return completed.size();
    }

    /** Estimated memory of all entries. */
    public long bytes() {
        return bytes;
    }

    /** Looks a request up; a new one is not recorded before {@link #requestStarted}. */
    public LookupResult lookUp(long nowMicros, long wallSeconds, KeyedRequest request) {
        evictExpired(nowMicros, wallSeconds);
        IdempotencyEntry known = entries.get(request.key());
        return known == null ? lookUpUnknown(request) : lookUpKnown(known, request, nowMicros);
    }

    private LookupResult lookUpUnknown(KeyedRequest request) {
        boolean mayBeForgotten =
                request.isSigned() && request.signedAtSeconds() <= forgottenUntilSeconds;
        if (mayBeForgotten && request.idempotency() != Idempotency.IDEMPOTENT) {
            // Guards against a replay after a restart, or after the wall clock stepped back over
            // what was evicted.
            return new LookupResult.Completed(new Failed(Reason.SIGNED_BEFORE_STORE, true));
        }
        if (!makeRoom()) {
            long retryAfterMicros = bounds.toleranceMicros() / FULL_RETRY_AFTER_DIVISOR;
            return new LookupResult.Completed(
                    new Rejected(Reason.IDEMPOTENCY_STORE_FULL, retryAfterMicros));
        }
        return new LookupResult.NewRequest(LookupResult.NewRequest.NO_LIMIT);
    }

    private LookupResult lookUpKnown(IdempotencyEntry known, KeyedRequest request, long nowMicros) {
        if (known.request.payloadDigest() != request.payloadDigest()) {
            return new LookupResult.Completed(new Failed(Reason.PAYLOAD_MISMATCH, false));
        }
        if (known.isInFlight()) {
            return new LookupResult.InFlight(known.requestId());
        }
        if (!(known.outcome() instanceof Rejected)) {
            return new LookupResult.Completed(known.outcome());
        }
        // Rejected although it may have run: only a request whose duplicates all invokers drop is,
        // and they drop them within the deduplication window only.
        long notAfterMicros = known.mayHaveRunSinceMicros + request.deduplicationWindowMicros();
        if (nowMicros < notAfterMicros) {
            return new LookupResult.NewRequest(notAfterMicros);
        }
        return new LookupResult.Completed(new Failed(Reason.DEDUPLICATION_WINDOW_PASSED, true));
    }

    /** Records a new request as in flight. */
    public void requestStarted(long requestId, KeyedRequest request) {
        IdempotencyEntry entry = new IdempotencyEntry(request, requestId);
        IdempotencyEntry previous = entries.get(request.key());
        if (previous != null) {
            entry.mayHaveRunSinceMicros = previous.mayHaveRunSinceMicros;
            remove(previous);
        }
        entries.put(request.key(), entry);
        inFlight.put(requestId, entry);
        bytes += entry.bytes();
    }

    /**
     * Records the outcome of a request; ignores requests that were never recorded.
     *
     * @param mayHaveRunSince when the first attempt that may have run was forwarded, 0 without one
     */
    public void requestCompleted(
            long nowMicros, long requestId, RequestOutcome outcome, long mayHaveRunSince) {
        IdempotencyEntry entry = inFlight.remove(requestId);
        if (entry == null) {
            return;
        }
        if (entry.mayHaveRunSinceMicros == AttemptLog.NEVER) {
            entry.mayHaveRunSinceMicros = mayHaveRunSince;
        }
        if (isRepeatNew(entry, outcome)) {
            entries.remove(entry.request.key());
            bytes -= entry.bytes();
            return;
        }
        entry.complete(outcome, nowMicros);
        bytes += entry.responseBytes();
        completed.add(entry);
        if (entry.isIdempotent()) {
            evictable.add(entry);
        } else {
            evictableResponses.add(entry);
        }
        while (bytes > bounds.maxBytes() && canEvict()) {
            evictOne();
        }
    }

    /** Whether a repeat after this outcome is a new request, of which nothing need be known. */
    private static boolean isRepeatNew(IdempotencyEntry entry, RequestOutcome outcome) {
        boolean rejected = outcome instanceof Rejected;
        boolean abandoned = outcome instanceof Failed failed && failed.reason() == Reason.ABANDONED;
        boolean harmless = entry.mayHaveRunSinceMicros == AttemptLog.NEVER || entry.isIdempotent();
        return (rejected || abandoned) && harmless;
    }

    private boolean makeRoom() {
        while (!hasRoom() && !evictable.isEmpty()) {
            evictOne();
        }
        while (!hasBytesLeft() && !evictableResponses.isEmpty()) {
            evictOne();
        }
        return hasRoom();
    }

    private boolean hasRoom() {
        return entries.size() < bounds.maxEntries() && hasBytesLeft();
    }

    private boolean hasBytesLeft() {
        return bytes + IdempotencyEntry.OVERHEAD_BYTES <= bounds.maxBytes();
    }

    private boolean canEvict() {
        return !evictable.isEmpty() || !evictableResponses.isEmpty();
    }

    private void evictOne() {
        if (!evictable.isEmpty()) {
            remove(evictable.iterator().next());
            return;
        }
        Iterator<IdempotencyEntry> oldest = evictableResponses.iterator();
        bytes -= oldest.next().evictResponse();
        oldest.remove();
    }

    private void remove(IdempotencyEntry entry) {
        if (entries.remove(entry.request.key(), entry)) {
            bytes -= entry.bytes();
        }
        completed.remove(entry);
        evictable.remove(entry);
        evictableResponses.remove(entry);
    }

    /**
     * Removes the entries that no accepted signature can repeat. Both clocks must agree on that,
     * since the wall clock may step.
     */
    private void evictExpired(long nowMicros, long wallSeconds) {
        while (!completed.isEmpty()) {
            IdempotencyEntry entry = completed.iterator().next();
            long signedAtSeconds = entry.request.signedAtSeconds();
            boolean agedOut = nowMicros - entry.completedAtMicros() > bounds.toleranceMicros();
            boolean signatureExpired =
                    !entry.request.isSigned()
                            || wallSeconds - signedAtSeconds > bounds.signatureToleranceSeconds();
            if (!agedOut || !signatureExpired) {
                return;
            }
            remove(entry);
            if (!entry.isIdempotent() && entry.request.isSigned()) {
                forgottenUntilSeconds = Math.max(forgottenUntilSeconds, signedAtSeconds);
            }
        }
    }
}
