package waytrestle.responses;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import waytrestle.stats.DecayingSum;

/**
 * What is known of one function from its ends at all invokers: how often it errs where, and whether
 * it is blamed. A circuit breaker after Nygard ("Release It!", 2nd ed., ch. 5) with one probe at a
 * time when half open.
 *
 * <p>Guards against a function that fails everywhere: its calls cost two attempts each and teach
 * nothing new. It can hurt a function that heals: its calls go on failing until the next probe, at
 * most the longest pause.
 */
final class FunctionCircuit {
    // ---- Tuned numbers; times are microseconds. ----
    private static final double SPAN =
            10_000_000; // over which ends fade: some seconds of evidence outlive a burst
    private static final int EACH =
            16; // invokers told apart for one function; the longest unheard goes first
    static final double SEEN = 3; // ends elsewhere before they say what is usual for the function
    private static final int PENDING = 3; // unexplained failures kept of one invoker
    private static final long VOUCHED =
            600_000_000; // an answer so recent shows that the function exists: ten minutes

    /** When the breaker opens and how it probes. */
    record Breaker(int calls, long pauseMicros, long mostMicros) {}

    private static final class Ends {
        final DecayingSum all = new DecayingSum(SPAN),
                failed = new DecayingSum(SPAN),
                rejected = new DecayingSum(SPAN);
        long servedAt;
    }

    enum State {
        CLOSED,
        OPEN,
        HALF_OPEN
    }

    private final Breaker rules;
    private final Ends total = new Ends();
    private final Map<String, Ends> byInvoker = new LinkedHashMap<>(8, 0.75f, true);
    private final Set<String> agreeing = new HashSet<>();
    private final Map<String, Integer> pending =
            new HashMap<>(); // failures not yet laid to anybody
    private int row; // calls in a row that ended in failure with no answer between
    private ExchangeResult said; // by the last of them
    private State state = State.CLOSED;
    private long until, pause, probe;
    final LatencyBaseline usual = new LatencyBaseline();
    final ConcurrencyEstimate lanes = new ConcurrencyEstimate();

    FunctionCircuit(Breaker rules) {
        this.rules = rules;
    }

    State state() {
        return state;
    }

    ExchangeResult said() {
        return said;
    }

    private Ends at(String invoker) {
        Ends ends = byInvoker.computeIfAbsent(invoker, i -> new Ends());
        if (byInvoker.size() > EACH) {
            Iterator<String> oldest = byInvoker.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return ends;
    }

    /** When the function last answered at this invoker; 0 if that is not known. */
    long servedAt(String invoker) {
        Ends ends = byInvoker.get(invoker);
        return ends == null ? 0 : ends.servedAt;
    }

    void stands(String invoker, long now) {
        at(invoker).servedAt = now;
    }

    /** Whether somebody has answered for it lately, so that it exists. */
    boolean vouched(long now) {
        return total.servedAt != 0 && now - total.servedAt < VOUCHED;
    }

    /**
     * Usual share of failures, or of rejections, at all others; negative while too little is known.
     */
    double elsewhere(String invoker, boolean rejections, long now) {
        Ends own = byInvoker.get(invoker);
        double all = total.all.value(now) - (own == null ? 0 : own.all.value(now));
        if (all < SEEN) {
            return -1;
        }
        DecayingSum of = rejections ? total.rejected : total.failed;
        double there = own == null ? 0 : (rejections ? own.rejected : own.failed).value(now);
        return Math.max(0, Math.min(1, (of.value(now) - there) / all));
    }

    /**
     * Failures at other invokers that an answer here shows to be theirs. None while the function
     * itself is blamed: its healing proves nothing against anybody.
     */
    Map<String, Integer> explains(String invoker) {
        if (pending.isEmpty() || state != State.CLOSED || row >= rules.calls()) {
            pending.clear();
            return Map.of();
        }
        Map<String, Integer> theirs = new HashMap<>(pending);
        Integer own = theirs.remove(invoker);
        pending.clear();
        if (own != null) {
            pending.put(invoker, own);
        }
        return theirs;
    }

    /** An attempt ended in an answer, a rejection or a failure. */
    void ended(String invoker, ResponseKind sense, long now) {
        if ((sense.isFailure() || sense == ResponseKind.NOT_LOADED)
                && (pending.size() < EACH || pending.containsKey(invoker))) {
            pending.merge(invoker, 1, (a, b) -> Math.min(a + b, PENDING));
        }
        for (Ends ends : new Ends[] {total, at(invoker)}) {
            ends.all.add(1, now);
            if (sense.isFailure() || sense == ResponseKind.NOT_LOADED) {
                ends.failed.add(1, now);
            } else if (sense == ResponseKind.REJECTED) {
                ends.rejected.add(1, now);
            } else {
                ends.servedAt = now;
            }
        }
        if (sense == ResponseKind.SERVED || sense == ResponseKind.REJECTED) {
            row = 0;
            agreeing.clear();
            state = State.CLOSED;
            pause = 0;
            probe = 0;
        }
    }

    /** A failure at an invoker that is no suspect, so that it may count against the function. */
    void agrees(String invoker) {
        if (agreeing.size() < EACH) {
            agreeing.add(invoker);
        }
    }

    /** A whole call ended in failure; the fleet's size says how many invokers can agree at all. */
    void callFailed(long call, ExchangeResult last, int ready, long now) {
        said = last;
        row++;
        boolean blamed = row >= rules.calls() && agreeing.size() >= Math.min(2, Math.max(1, ready));
        if (call == probe || (state == State.CLOSED && blamed)) {
            pause = pause == 0 ? rules.pauseMicros() : Math.min(rules.mostMicros(), 2 * pause);
            state = State.OPEN;
            until = now + pause;
            probe = 0;
        }
    }

    /** Whether a call may go on; one probe at a time once the pause is over. */
    boolean lets(long call, long now) {
        if (state == State.CLOSED) {
            return true;
        }
        if (probe == 0 && now >= until) {
            probe = call;
            state = State.HALF_OPEN;
            return true;
        }
        return false;
    }

    /**
     * A call is over; a probe that ended without a word on the function leaves the next call to
     * try.
     */
    void over(long call) {
        if (call == probe) {
            probe = 0;
            state = State.OPEN;
        }
    }

    /** Micros until the next probe, at least a pause where one is out. */
    long comeBack(long now) {
        return Math.max(rules.pauseMicros(), until - now);
    }
}
