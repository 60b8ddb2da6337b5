package waytrestle.responses;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import waytrestle.scheduler.StartKind;

/**
 * Holds what invokers were promised to tell and do against what comes back, each invoker by itself,
 * and passes on only what is worth believing: an untold or refuted start is UNKNOWN, a refuted
 * report is none, so that the module goes by its own sends and answers there.
 *
 * <p>Guards against settings that are wrong of some invokers, and against invokers that tell
 * nonsense: one report of a million calls in hand would spoil the average that all others are
 * compared with.
 */
final class CapabilityVerifier {
    // ---- Tuned numbers; times are microseconds. ----
    private static final double NEWS =
            0.1; // weight of one answer in what is believed: about the last ten count
    private static final double TRUSTED =
            0.6; // share of kept promises below which what is told is left out
    private static final int WARN_AFTER =
            10; // answers before an operator is told: one may be chance
    private static final double MOST = 1e6; // of any count that a report may tell
    private static final int OWN =
            3; // own calls surely there before a report of fewer refutes itself
    private static final double CROWDED =
            8; // times the usual calls in hand: could not answer in the usual time
    private static final double ROOM = 4; // calls in hand that slow nobody, as the estimate has it
    private static final double QUICK = 1.5; // times the usual: no load and no crowd in it
    private static final double LOAD_PART =
            0.5; // of a load that an answer must have taken to have waited for one
    private static final double FAR = 2; // times, either way, by which a told load time is wrong
    private static final double WORK_FAR = 3; // the same of work, which varies by what is asked

    private static final String[] USED = {
        "inflight", "queue", "x1"
    }; // of a report, by the estimate

    /** What the settings promise. */
    record Made(
            boolean start,
            boolean company,
            boolean orders,
            boolean reports,
            boolean missAnswers,
            long keepAliveMicros) {}

    /** What was seen of one promise of one invoker. */
    static final class Count {
        long untold, kept, broken;
        private double trust = 1;
        private boolean warned;

        private void saw(boolean good) {
            kept += good ? 1 : 0;
            broken += good ? 0 : 1;
            trust += NEWS * ((good ? 1 : 0) - trust);
        }

        private boolean trusted() {
            return trust >= TRUSTED;
        }
    }

    /** Hears of an invoker that does not keep what the settings promise; once for each promise. */
    interface Warn {
        void warn(String invoker, DeclaredCapability promise, boolean untold);
    }

    private static final class Standing {
        final Map<DeclaredCapability, Count> counts = new EnumMap<>(DeclaredCapability.class);

        Count of(DeclaredCapability promise) {
            return counts.computeIfAbsent(promise, p -> new Count());
        }
    }

    private final Made made;
    private final Warn warn;
    private final Map<String, Standing> invokers = new HashMap<>();
    private double meanInHand;

    CapabilityVerifier(Made made, Warn warn) {
        this.made = made;
        this.warn = warn;
    }

    void gone(String invoker) {
        invokers.remove(invoker);
    }

    Map<DeclaredCapability, Count> of(String invoker) {
        Standing s = invokers.get(invoker);
        return s == null ? Map.of() : s.counts;
    }

    /**
     * An attempt as it stood at its end: when it was sent, own calls then surely there, its level,
     * and what was told.
     */
    record Seen(
            String invoker,
            long sentAt,
            long took,
            int surelyThere,
            long toldLoad,
            long toldWork) {}

    /** Weighs what came with an answer; f still holds what was known before it. */
    InvokerLoadReport weigh(
            FunctionCircuit f, Seen seen, ResponseKind sense, InvokerLoadReport told, long now) {
        if (sense != ResponseKind.SERVED
                && sense != ResponseKind.REJECTED
                && sense != ResponseKind.NOT_LOADED
                && sense != ResponseKind.FULL
                && sense != ResponseKind.ERROR) {
            return InvokerLoadReport.EMPTY;
        }
        Standing s = invokers.computeIfAbsent(seen.invoker(), i -> new Standing());
        boolean served = sense == ResponseKind.SERVED;
        Map<String, Double> report = report(s, f, seen, told.metrics(), served);
        StartKind start = served ? start(s, f, seen, told.start()) : told.start();
        int company = served ? company(s, seen, told.concurrentRequests(), report) : -1;
        if (told.start() != StartKind.LOAD_FAILED) {
            missAnswers(s, f, seen, sense, start);
            keepAlive(s, f, seen, sense, start);
        }
        if (served && seen.toldWork() > 0 && f.usual.known()) {
            double ratio = f.usual.run() / seen.toldWork();
            saw(
                    s,
                    seen.invoker(),
                    DeclaredCapability.WORK_TIME,
                    ratio < WORK_FAR && ratio > 1 / WORK_FAR);
        }
        return new InvokerLoadReport(start, company, report);
    }

    /** A load order that stands after so long. */
    void loaded(String invoker, long took, long toldLoad, int copies) {
        Standing s = invokers.computeIfAbsent(invoker, i -> new Standing());
        if (copies < 0) {
            untold(s, invoker, DeclaredCapability.INSTANCES);
        } else {
            saw(s, invoker, DeclaredCapability.INSTANCES, true);
        }
        if (toldLoad > 0) {
            double ratio = took / (double) toldLoad;
            saw(s, invoker, DeclaredCapability.LOAD_TIME, ratio < FAR && ratio > 1 / FAR);
        }
    }

    private void untold(Standing s, String invoker, DeclaredCapability promise) {
        Count c = s.of(promise);
        if (++c.untold >= WARN_AFTER && c.untold > 9 * (c.kept + c.broken)) {
            once(c, invoker, promise, true);
        }
    }

    private boolean saw(Standing s, String invoker, DeclaredCapability promise, boolean kept) {
        Count c = s.of(promise);
        c.saw(kept);
        if (c.broken >= WARN_AFTER && !c.trusted()) {
            once(c, invoker, promise, false);
        }
        return kept;
    }

    private void once(Count c, String invoker, DeclaredCapability promise, boolean untold) {
        if (!c.warned) {
            c.warned = true;
            warn.warn(invoker, promise, untold);
        }
    }

    /**
     * A load that the answer's time has no room for, or a copy said to stand where the time is a
     * load's.
     */
    private StartKind start(Standing s, FunctionCircuit f, Seen seen, StartKind told) {
        if (told == StartKind.UNKNOWN) {
            if (made.start()) {
                untold(s, seen.invoker(), DeclaredCapability.START);
            }
            return told;
        }
        double load = f.usual.load(seen.toldLoad());
        if (told != StartKind.LOAD_FAILED && (!f.usual.known() || load <= 0)) {
            s.of(DeclaredCapability.START).kept++;
            return told;
        }
        boolean quick =
                seen.took() < QUICK * f.usual.run()
                        && seen.took() < f.usual.run() + LOAD_PART * load;
        boolean slow = seen.took() > QUICK * f.usual.run() + LOAD_PART * load;
        long served = f.servedAt(seen.invoker());
        boolean mayStand = served != 0 && seen.sentAt() - served < made.keepAliveMicros();
        boolean waited = told == StartKind.COLD || told == StartKind.JOINED;
        boolean refuted =
                (waited && quick && load > f.usual.run() / 2)
                        || told == StartKind.LOAD_FAILED
                        || (told == StartKind.WARM && slow && !mayStand);
        saw(s, seen.invoker(), DeclaredCapability.START, !refuted);
        return s.of(DeclaredCapability.START).trusted() && !refuted ? told : StartKind.UNKNOWN;
    }

    /** Never more than all calls that are there, by a report that is believed itself. */
    private int company(Standing s, Seen seen, int told, Map<String, Double> report) {
        if (!made.company()) {
            return -1;
        }
        if (told < 0) {
            untold(s, seen.invoker(), DeclaredCapability.CONCURRENCY);
            return -1;
        }
        boolean good = told <= report.getOrDefault("inflight", CROWDED * (meanInHand + ROOM)) + 1;
        saw(s, seen.invoker(), DeclaredCapability.CONCURRENCY, good);
        return good && s.of(DeclaredCapability.CONCURRENCY).trusted() ? told : -1;
    }

    /**
     * Out of range, fewer in hand than this controller alone has there, or a crowd that slowed
     * nothing.
     */
    private Map<String, Double> report(
            Standing s, FunctionCircuit f, Seen seen, Map<String, Double> report, boolean served) {
        if (report.isEmpty()) {
            if (made.reports()) {
                untold(s, seen.invoker(), DeclaredCapability.LOAD_REPORTS);
            }
            return report;
        }
        boolean good = true;
        for (String name : USED) {
            double value = report.getOrDefault(name, 0.0);
            good &= value >= 0 && value <= MOST;
        }
        Double inHand = report.get("inflight");
        if (good && inHand != null) {
            boolean few = seen.surelyThere() >= OWN && inHand < seen.surelyThere() / 2.0;
            boolean crowd =
                    inHand > CROWDED * (meanInHand + ROOM)
                            && (!f.usual.known()
                                    || (served && seen.took() < QUICK * f.usual.run()));
            good = !few && !crowd && report.getOrDefault("queue", 0.0) <= inHand;
            if (good) {
                meanInHand += NEWS * (Math.min(inHand, CROWDED * (meanInHand + ROOM)) - meanInHand);
            }
        }
        saw(s, seen.invoker(), DeclaredCapability.LOAD_REPORTS, good);
        return good && s.of(DeclaredCapability.LOAD_REPORTS).trusted() ? report : Map.of();
    }

    private void missAnswers(
            Standing s, FunctionCircuit f, Seen seen, ResponseKind sense, StartKind start) {
        boolean loadsItself = sense == ResponseKind.SERVED && start == StartKind.COLD;
        boolean misses = sense == ResponseKind.NOT_LOADED;
        if (loadsItself || (misses && f.servedAt(seen.invoker()) != 0)) {
            saw(
                    s,
                    seen.invoker(),
                    DeclaredCapability.NOT_LOADED_RESPONSES,
                    made.missAnswers() == misses);
        }
    }

    private void keepAlive(
            Standing s, FunctionCircuit f, Seen seen, ResponseKind sense, StartKind start) {
        long idle = seen.sentAt() - f.servedAt(seen.invoker());
        if (f.servedAt(seen.invoker()) == 0 || idle <= 0 || idle > made.keepAliveMicros()) {
            return;
        }
        if (sense == ResponseKind.NOT_LOADED
                || (sense == ResponseKind.SERVED && start == StartKind.COLD)) {
            saw(s, seen.invoker(), DeclaredCapability.KEEP_ALIVE, false);
        } else if (sense == ResponseKind.SERVED
                && start == StartKind.WARM
                && idle > made.keepAliveMicros() / 2) {
            saw(s, seen.invoker(), DeclaredCapability.KEEP_ALIVE, true);
        }
    }
}
