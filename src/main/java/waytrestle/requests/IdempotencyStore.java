package waytrestle.requests;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.FunctionError;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.requests.RequestOutcome.Rejected;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.scheduler.Idempotency;

/**
 * What is known of the ids of calls, so that a call that comes again is not run again. While a call
 * is open a repeat joins it; after an end that may have run, the end is given again; after a
 * refusal a repeat is a new call.
 *
 * <p>Bounded in entries and bytes. What gives way at the bound: first answers of safe calls with
 * their entries (a run again does no harm), then answers of others, whose entries stay (a repeat is
 * told that it was served). An entry of a call that must not run twice is never let go early: when
 * only such entries are left, new calls are refused.
 */
public final class IdempotencyStore {
    /** Bounds; tolerance is how far a signing time may lie from the wall clock, either way. */
    public record Bounds(int entries, long bytes, long toleranceSeconds) {}

    /** A call as it arrives; signedAt is the wall clock's second at which its client signed it. */
    public record KeyedRequest(
            String key,
            Idempotency idempotency,
            long deduplicationWindowMicros,
            long signedAtSeconds,
            long payloadDigest) {}

    /** What an arrival comes to. */
    public sealed interface LookupResult {
        /**
         * A new call; a positive notAfter is when the invokers cease to drop repeats of what may
         * have run.
         */
        record NewRequest(long notAfterMicros) implements LookupResult {}

        record InFlight(long requestId) implements LookupResult {}

        record Completed(RequestOutcome outcome) implements LookupResult {}
    }

    private static final int ENTRY_BYTES =
            200; // bytes that an entry weighs beside its key and answer

    private static final class Entry {
        final KeyedRequest arrival;
        long call; // 0: ended
        RequestOutcome end;
        long endedAt;
        long mayRunAt; // first send of a call that may have run; 0: proved not to have

        Entry(KeyedRequest arrival) {
            this.arrival = arrival;
        }

        long bytes() {
            return ENTRY_BYTES + 2L * arrival.key().length() + answerBytes();
        }

        long answerBytes() {
            return end instanceof Served served
                    ? served.body().size()
                    : end instanceof FunctionError own ? own.body().size() : 0;
        }
    }

    private final Bounds bounds;
    private final HashMap<String, Entry> entries = new HashMap<>();
    private final HashMap<Long, Entry> open = new HashMap<>();
    private final LinkedHashSet<Entry> requestCompleted =
            new LinkedHashSet<>(); // by time of their end
    private final LinkedHashSet<Entry> safe = new LinkedHashSet<>(); // ended, safe: may be let go
    private final LinkedHashSet<Entry> answers =
            new LinkedHashSet<>(); // ended, others: their answers may be
    private long bytes;
    private long horizon; // wall second: what was signed up to then may have been forgotten

    /** A gateway that starts remembers nothing signed before. */
    public IdempotencyStore(Bounds bounds, long wallSeconds) {
        this.bounds = bounds;
        this.horizon = wallSeconds;
    }

    public int size() {
        return entries.size();
    }

    /** Ends held, which are never more than the entries. */
    int outcomesHeld() {
        return requestCompleted.size();
    }

    public long bytes() {
        return bytes;
    }

    /** Judges an arrival; a fresh one is not remembered before {@link #requestStarted}. */
    public LookupResult lookUp(long now, long wallSeconds, KeyedRequest a) {
        evictExpired(now, wallSeconds);
        Entry known = entries.get(a.key());
        if (known == null) {
            // Guards against a replay after a restart, or after the wall clock stepped back over
            // what was let go.
            if (a.idempotency() != Idempotency.IDEMPOTENT && a.signedAtSeconds() <= horizon) {
                return new LookupResult.Completed(new Failed(Reason.SIGNED_BEFORE_STORE, true));
            }
            return makeRoom()
                    ? new LookupResult.NewRequest(0)
                    : new LookupResult.Completed(
                            new Rejected(
                                    Reason.IDEMPOTENCY_STORE_FULL,
                                    bounds.toleranceSeconds() * 1_000_000 / 10));
        }
        if (known.arrival.payloadDigest() != a.payloadDigest()) {
            return new LookupResult.Completed(new Failed(Reason.PAYLOAD_MISMATCH, false));
        }
        if (known.call != 0) {
            return new LookupResult.InFlight(known.call);
        }
        if (!(known.end instanceof Rejected)) {
            return new LookupResult.Completed(known.end);
        }
        // Refused although it may have run: a keyed call whose repeats all invokers drop, for its
        // window only.
        long notAfter = known.mayRunAt + a.deduplicationWindowMicros();
        return now < notAfter
                ? new LookupResult.NewRequest(notAfter)
                : new LookupResult.Completed(new Failed(Reason.DEDUPLICATION_WINDOW_PASSED, true));
    }

    /** Remembers a fresh call as open. */
    public void requestStarted(long call, KeyedRequest a) {
        Entry before = entries.get(a.key());
        Entry entry = new Entry(a);
        if (before != null) {
            entry.mayRunAt = before.mayRunAt;
            discard(before);
        }
        entry.call = call;
        entries.put(a.key(), entry);
        open.put(call, entry);
        bytes += entry.bytes();
    }

    /** A call ended; mayRunAt is the first send that may have run, 0 without one. */
    public void requestCompleted(long now, long call, RequestOutcome end, long mayRunAt) {
        Entry entry = open.remove(call);
        if (entry == null) {
            return;
        }
        entry.call = 0;
        long first = entry.mayRunAt != 0 ? entry.mayRunAt : mayRunAt;
        boolean safeToRun = entry.arrival.idempotency() == Idempotency.IDEMPOTENT;
        boolean abandoned = end instanceof Failed failed && failed.reason() == Reason.ABANDONED;
        if (end instanceof Rejected
                ? first == 0 || safeToRun
                : abandoned && (first == 0 || safeToRun)) {
            entries.remove(entry.arrival.key());
            bytes -= entry.bytes();
            return;
        }
        entry.mayRunAt = first;
        entry.end = end;
        entry.endedAt = now;
        bytes += entry.answerBytes();
        requestCompleted.add(entry);
        (safeToRun ? safe : answers).add(entry);
        while (bytes > bounds.bytes() && (!safe.isEmpty() || !answers.isEmpty())) {
            evictOne();
        }
    }

    private boolean makeRoom() {
        long more = ENTRY_BYTES;
        while ((entries.size() >= bounds.entries() || bytes + more > bounds.bytes())
                && !safe.isEmpty()) {
            evictOne();
        }
        while (bytes + more > bounds.bytes() && !answers.isEmpty()) {
            evictOne();
        }
        return entries.size() < bounds.entries() && bytes + more <= bounds.bytes();
    }

    private void evictOne() {
        if (!safe.isEmpty()) {
            discard(safe.iterator().next());
            return;
        }
        Iterator<Entry> first = answers.iterator();
        Entry entry = first.next();
        first.remove();
        if (entry.answerBytes() > 0 || entry.end instanceof Served) {
            bytes -= entry.answerBytes();
            entry.end = new Failed(Reason.RESPONSE_EVICTED, true);
        }
    }

    private void discard(Entry entry) {
        if (entries.remove(entry.arrival.key(), entry)) {
            bytes -= entry.bytes();
        }
        requestCompleted.remove(entry);
        safe.remove(entry);
        answers.remove(entry);
    }

    /**
     * Lets go what no accepted signature can bring back; both clocks must agree, since the wall's
     * may step.
     */
    private void evictExpired(long now, long wallSeconds) {
        while (!requestCompleted.isEmpty()) {
            Entry entry = requestCompleted.iterator().next();
            boolean span = now - entry.endedAt > bounds.toleranceSeconds() * 1_000_000;
            boolean signed =
                    wallSeconds - entry.arrival.signedAtSeconds() > bounds.toleranceSeconds();
            if (!(span && signed)) {
                return;
            }
            discard(entry);
            if (entry.arrival.idempotency() != Idempotency.IDEMPOTENT) {
                horizon = Math.max(horizon, entry.arrival.signedAtSeconds());
            }
        }
    }
}
