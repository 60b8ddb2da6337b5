package waytrestle.overload;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How many calls may be open at once, found from measured queueing: while answers take about as
 * long as they do unhindered the limit grows by its square root, when they take longer it shrinks
 * by how much longer. After the gradient limit of Netflix's concurrency-limits ("Performance Under
 * Load", 2018), itself after TCP Vegas.
 *
 * <p>Guards against a backlog that only grows: everything would be served late, most of it for
 * nobody. It can hurt where calls of one function vary widely; the tolerance is for that.
 */
public final class ConcurrencyLimit {
    // ---- Tuned numbers. ----
    private static final double TOLERANCE =
            3.0; // times the quickest time that counts as no queueing: run times vary
    private static final double STEEPEST =
            0.5; // least factor of one step: one bad window must not empty the house
    private static final double SMOOTH =
            0.5; // weight of a step: half its way, so that noise evens out
    private static final long WINDOW = 250_000; // micros a step: a limit must follow within seconds
    private static final int SAMPLES = 8; // least answers a step: fewer say nothing
    private static final double START =
            8; // times the least: the limit doubles from there, step by step, until
    // it first meets queueing; a flood at the start builds no backlog
    private static final double HEADROOM =
            2.0; // times the most that was open: the limit stays near its use
    private static final double FLOOR =
            25_000; // micros: quicker functions count as this quick. What holds them up
    // for a few milliseconds is a pause of some process, not a queue
    private static final double FALL =
            0.1; // of the gap: a quicker answer's correction of the quickest time
    private static final double RISE =
            0.02; // a second: its growth while answers are slower. By time, not by
    // answers: a backlog must not pass for usual within seconds
    private static final int FUNCTIONS = 4_096; // remembered times; the longest unused is let go

    private final int least, most;

    private static final class Quickest {
        double micros;
        long at;
    }

    private final Map<String, Quickest> unhindered = new LinkedHashMap<>(16, 0.75f, true);
    private double limit;
    private long windowFrom;
    private int samples, timeouts, peak;
    private double ratios;
    private boolean starting = true;

    public ConcurrencyLimit(int least, int most) {
        this.least = least;
        this.most = most;
        this.limit = Math.min(most, START * least);
    }

    public int limit() {
        return (int) limit;
    }

    /** The number now open, told at each change. */
    public void inFlight(long now, int open) {
        peak = Math.max(peak, open);
        step(now);
    }

    public void timedOut(long now) {
        timeouts++;
        step(now);
    }

    /** An answer of a function that needed no load. */
    public void served(long now, String function, long tookMicros) {
        Quickest usual = unhindered.computeIfAbsent(function, f -> new Quickest());
        if (usual.at == 0) {
            usual.micros = Math.max(1, tookMicros);
        } else if (tookMicros < usual.micros) {
            usual.micros += FALL * (tookMicros - usual.micros);
        } else {
            usual.micros *= 1 + RISE * Math.min(1, (now - usual.at) / 1e6);
        }
        usual.at = now;
        ratios += tookMicros / Math.max(FLOOR, usual.micros);
        samples++;
        if (unhindered.size() > FUNCTIONS) {
            Iterator<String> oldest = unhindered.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        step(now);
    }

    private void step(long now) {
        if (windowFrom == 0) {
            windowFrom = now;
        }
        if (now - windowFrom < WINDOW || samples + timeouts < SAMPLES) {
            return;
        }
        double queueing = (ratios + timeouts * 2 * TOLERANCE) / (samples + timeouts);
        double gradient = Math.max(STEEPEST, Math.min(1, TOLERANCE / queueing));
        double base = Math.min(limit, HEADROOM * Math.max(peak, START * least));
        starting &= gradient >= 1;
        double wanted = base * gradient + (gradient >= 1 ? Math.sqrt(base) : 0);
        double next =
                starting ? peak > limit / 2 ? 2 * limit : limit : base + SMOOTH * (wanted - base);
        limit = Math.max(least, Math.min(most, next));
        windowFrom = now;
        samples = timeouts = peak = 0;
        ratios = 0;
    }
}
