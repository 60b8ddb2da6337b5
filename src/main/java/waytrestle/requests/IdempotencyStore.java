package waytrestle.requests;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.FunctionError;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.requests.RequestOutcome.Rejected;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.scheduler.Idempotency;

/**
 * Remembers the idempotency keys of recent requests, so that a repeat (a further request with a
 * known key) does not run the function again. While the first request is in flight, a repeat joins
 * it. After the first request has completed, a repeat gets the same outcome. Only after a
 * rejection, or after all clients of the first request have left, is a repeat a new request,
 * provided that running it is harmless.
 *
 * <p>The store is bounded in entries and bytes. When a bound is reached, the completed entries of
 * idempotent requests are evicted first, since running such a request again is harmless. Then the
 * response bodies of other requests are evicted, but their entries are kept, so that a repeat still
 * fails instead of running again. The entry of a non-idempotent or keyed request is never evicted
 * before it expires: when only such entries are left, new requests are rejected.
 *
 * <p>Names ending in Micros are monotonic times or durations in microseconds, names ending in
 * Seconds are wall-clock times or durations in seconds. Not thread-safe: used by the controller's
 * event loop.
 */
public final class IdempotencyStore {
    private static final long MICROS_PER_SECOND = 1_000_000;

    /**
     * Divisor of the signature tolerance that yields Retry-After when the store is full: entries
     * expire one tolerance after completion, so some have expired after a tenth of it.
     */
    private static final long FULL_RETRY_AFTER_DIVISOR = 10;

    /**
     * The bounds of a store.
     *
     * @param maxEntries largest number of idempotency keys
     * @param maxBytes largest estimated memory of all entries
     * @param signatureToleranceSeconds largest accepted difference between a signing time and the
     *     wall clock, in either direction; completed entries expire no earlier than after it
     */
    public record Bounds(int maxEntries, long maxBytes, long signatureToleranceSeconds) {
        long toleranceMicros() {
            return signatureToleranceSeconds * MICROS_PER_SECOND;
        }
    }

    /**
     * What identifies a request with an idempotency key when it arrives.
     *
     * @param deduplicationWindowMicros how long invokers drop duplicates of an idempotency key
     * @param signedAtSeconds wall-clock time at which the client signed the request, {@link
     *     #UNSIGNED} where the protocol has no signatures: an unsigned request is new whenever its
     *     key is unknown, and its entry expires by the monotonic clock alone
     * @param payloadDigest digest of the payload, by which requests with equal keys but different
     *     payloads are told apart
     */
    public record KeyedRequest(
            String key,
            Idempotency idempotency,
            long deduplicationWindowMicros,
            long signedAtSeconds,
            long payloadDigest) {
        /** Stands for a missing signing time. */
        public static final long UNSIGNED = Long.MIN_VALUE;

        boolean isSigned() {
            return signedAtSeconds != UNSIGNED;
        }
    }

    /** The result of looking up a request that arrives. */
    public sealed interface LookupResult {
        /**
         * The request is to be run.
         *
         * @param deduplicatedUntilMicros monotonic time until which invokers drop duplicates of an
         *     earlier request with the same key that may have run; {@link #NO_LIMIT} if no earlier
         *     request may have run
         */
        record NewRequest(long deduplicatedUntilMicros) implements LookupResult {
            /** Stands for a missing time: attempts are not limited to a deduplication window. */
            static final long NO_LIMIT = 0;

            /** Returns whether the request may run only while invokers still drop duplicates. */
            boolean isLimited() {
                return deduplicatedUntilMicros > NO_LIMIT;
            }
        }

        /** A request with the same key and payload is in flight, and the repeat is to join it. */
        record InFlight(long requestId) implements LookupResult {}

        /** The request is not to be run, and its outcome is already known. */
        record Completed(RequestOutcome outcome) implements LookupResult {}
    }

    private final Bounds bounds;

    /** All entries, by idempotency key. */
    private final Map<String, IdempotencyEntry> entries = new HashMap<>();

    /** Entries of requests in flight, by request id. */
    private final Map<Long, IdempotencyEntry> inFlight = new HashMap<>();

    /** All completed entries, ordered by time of completion. */
    private final Set<IdempotencyEntry> completed = new LinkedHashSet<>();

    /** Completed entries of idempotent requests, which may be evicted, by time of completion. */
    private final Set<IdempotencyEntry> evictable = new LinkedHashSet<>();

    /**
     * Completed entries of other requests, whose response bodies (if any) may be evicted, by time
     * of completion.
     */
    private final Set<IdempotencyEntry> evictableResponses = new LinkedHashSet<>();

    /** Estimated memory of all entries. */
    private long bytes;

    /**
     * Wall-clock time in seconds: the store may have forgotten, or never known, requests signed at
     * or before it.
     */
    private long forgottenUntilSeconds;

    /**
     * Creates an empty store. Requests signed at or before its creation may have run unknown to it.
     *
     * @param wallSeconds wall-clock time of the creation
     */
    public IdempotencyStore(Bounds bounds, long wallSeconds) {
        this.bounds = bounds;
        this.forgottenUntilSeconds = wallSeconds;
    }

    /** Returns the number of idempotency keys held. */
    public int size() {
        return entries.size();
    }

    /** Returns the number of completed entries, which is at most {@link #size}. */
    int completedEntries() {
        return completed.size();
    }

    /** Returns the estimated memory of all entries in bytes. */
    public long bytes() {
        return bytes;
    }

    /**
     * Evicts expired entries, then looks up a request. Does not record a new request; {@link
     * #requestStarted} does.
     */
    public LookupResult lookUp(long nowMicros, long wallSeconds, KeyedRequest request) {
        evictExpired(nowMicros, wallSeconds);
        IdempotencyEntry known = entries.get(request.key());
        return known == null ? lookUpUnknown(request) : lookUpKnown(known, request, nowMicros);
    }

    private LookupResult lookUpUnknown(KeyedRequest request) {
        boolean mayHaveBeenForgotten =
                request.isSigned() && request.signedAtSeconds() <= forgottenUntilSeconds;
        if (mayHaveBeenForgotten && request.idempotency() != Idempotency.IDEMPOTENT) {
            // Prevents a replay after a restart, or after the wall clock has stepped back behind
            // the signing times of expired entries.
            return new LookupResult.Completed(new Failed(Reason.SIGNED_BEFORE_STORE, true));
        }
        if (!makeRoomForNewEntry()) {
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
        // A request that may have run is rejected only if all invokers drop its duplicates, and
        // they drop duplicates only within the deduplication window.
        long deduplicatedUntilMicros =
                known.mayHaveRunSinceMicros + request.deduplicationWindowMicros();
        if (nowMicros < deduplicatedUntilMicros) {
            return new LookupResult.NewRequest(deduplicatedUntilMicros);
        }
        return new LookupResult.Completed(new Failed(Reason.DEDUPLICATION_WINDOW_PASSED, true));
    }

    /** Records a new request as in flight; an earlier entry with its key is replaced. */
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
     * Records the outcome of a request; does nothing if the request has no entry in flight.
     *
     * @param mayHaveRunSinceMicros forwarding time of the first attempt that may have run, {@link
     *     AttemptLog#NEVER} if there is none
     */
    public void requestCompleted(
            long nowMicros, long requestId, RequestOutcome outcome, long mayHaveRunSinceMicros) {
        IdempotencyEntry entry = inFlight.remove(requestId);
        if (entry == null) {
            return;
        }
        if (entry.mayHaveRunSinceMicros == AttemptLog.NEVER) {
            entry.mayHaveRunSinceMicros = mayHaveRunSinceMicros;
        }
        if (isRepeatNew(entry, outcome)) {
            entries.remove(entry.request.key());
            bytes -= entry.bytes();
            return;
        }
        entry.complete(withCompactBody(outcome), nowMicros);
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

    /**
     * Returns the outcome with its body in memory of the body's size. A response in small chunks
     * comes in an array that is far larger, and an entry is kept much longer than a response takes.
     */
    private static RequestOutcome withCompactBody(RequestOutcome outcome) {
        if (outcome instanceof Served served) {
            return new Served(served.contentType(), served.body().compact(), served.jsonBytes());
        }
        if (outcome instanceof FunctionError error) {
            return new FunctionError(
                    error.status(),
                    error.contentType(),
                    error.body().compact(),
                    error.mayHaveRun(),
                    error.attemptSummary());
        }
        return outcome;
    }

    /** Returns whether a repeat after the outcome is a new request, so no entry is needed. */
    private static boolean isRepeatNew(IdempotencyEntry entry, RequestOutcome outcome) {
        boolean rejected = outcome instanceof Rejected;
        boolean abandoned = outcome instanceof Failed failed && failed.reason() == Reason.ABANDONED;
        boolean isRerunHarmless =
                entry.mayHaveRunSinceMicros == AttemptLog.NEVER || entry.isIdempotent();
        return (rejected || abandoned) && isRerunHarmless;
    }

    /** Evicts what may be evicted until a new entry fits; returns whether it fits. */
    private boolean makeRoomForNewEntry() {
        while (!hasRoomForNewEntry() && !evictable.isEmpty()) {
            evictOne();
        }
        while (!hasBytesForNewEntry() && !evictableResponses.isEmpty()) {
            evictOne();
        }
        return hasRoomForNewEntry();
    }

    private boolean hasRoomForNewEntry() {
        return entries.size() < bounds.maxEntries() && hasBytesForNewEntry();
    }

    private boolean hasBytesForNewEntry() {
        return bytes + IdempotencyEntry.OVERHEAD_BYTES <= bounds.maxBytes();
    }

    private boolean canEvict() {
        return !evictable.isEmpty() || !evictableResponses.isEmpty();
    }

    /** Evicts the oldest entry of an idempotent request, or else the oldest response body. */
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
     * Removes completed entries whose signature is no longer accepted, so that no repeat can pass.
     * An entry must have expired by the monotonic clock too, since the wall clock may step.
     */
    private void evictExpired(long nowMicros, long wallSeconds) {
        while (!completed.isEmpty()) {
            IdempotencyEntry entry = completed.iterator().next();
            long signedAtSeconds = entry.request.signedAtSeconds();
            boolean retentionExpired =
                    nowMicros - entry.completedAtMicros() > bounds.toleranceMicros();
            boolean signatureExpired =
                    !entry.request.isSigned()
                            || wallSeconds - signedAtSeconds > bounds.signatureToleranceSeconds();
            if (!retentionExpired || !signatureExpired) {
                return;
            }
            remove(entry);
            if (!entry.isIdempotent() && entry.request.isSigned()) {
                forgottenUntilSeconds = Math.max(forgottenUntilSeconds, signedAtSeconds);
            }
        }
    }
}
