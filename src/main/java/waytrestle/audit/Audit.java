package waytrestle.audit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.scheduler.SchedulerSettings.Preloading;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.scheduler.SchedulerSettings.Rules;

/**
 * Judges the five rules from what clients, invokers and roster saw on their sockets. It joins their
 * sightings by the ids that stand in them and takes nothing from the gateway but its configuration.
 * Each check is a method.
 */
public final class Audit {
    // ---- Allowances for seeing a thing later than it happened; micros. ----
    private static final long SEEN_LATE =
            50_000; // two ends of a loopback socket, busy threads between; a build on a
    // stalling machine gives more, so that its verdict is always the same
    private static final long KILL_SPAN =
            1_000_000; // within which a killed controller's connections are seen to break
    private static final long CONNECTED =
            3_000_000; // after an answer within which its kept connection tells of the end
    private static final int TOLD = 20; // breaks spelled out a rule

    /** The five rules in the order of the pages. */
    public enum Rule {
        ONE_ANSWER,
        NO_DOUBLE_EFFECT,
        DRAINS_KEPT,
        COLD_SPARED,
        ORDERS_RATIONED
    }

    /** A broken rule, with when and whom it concerns. */
    public record Break(Rule rule, long at, String text) {}

    /** What the day came to. */
    public record Verdict(
            List<Break> breaks,
            Map<Rule, Integer> counts,
            double service,
            long calls,
            long attempts,
            long orders,
            Map<String, Long> ends,
            Histogram latency,
            long coldUsedPercent,
            long ordersUsedPercent) {
        public boolean kept() {
            return counts.values().stream().allMatch(n -> n == 0);
        }

        /** Lines for a person. */
        public String text() {
            StringBuilder out = new StringBuilder();
            out.append(
                    String.format(
                            "calls %d, attempts %d, load orders %d%n", calls, attempts, orders));
            ends.forEach((end, n) -> out.append(String.format("  %-28s %d%n", end, n)));
            out.append(
                    String.format(
                            "served latency ms: p50 %.1f, p90 %.1f, p99 %.1f, most %.1f%n",
                            latency.getValueAtPercentile(50) / 1e3,
                            latency.getValueAtPercentile(90) / 1e3,
                            latency.getValueAtPercentile(99) / 1e3,
                            latency.getMaxValue() / 1e3));
            out.append(
                    String.format(
                            "service (worth answered in time over worth asked): %.3f%n", service));
            out.append(String.format("cold budget used at most: %d%%%n", coldUsedPercent));
            for (Rule rule : Rule.values()) {
                int n = counts.getOrDefault(rule, 0);
                out.append(
                        String.format(
                                "rule %d %-18s %s%n",
                                rule.ordinal() + 1,
                                rule.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                                n == 0 ? "kept" : "BROKEN " + n + " times"));
            }
            breaks.forEach(
                    b -> out.append(String.format("  at %.3f s, %s%n", b.at() / 1e6, b.text())));
            return out.toString();
        }
    }

    /** A sighting, read from a line or seen at once. */
    private record Sighting(long t, String who, String what, JsonNode fields, Object[] pairs) {
        private Object of(String name) {
            for (int i = 0; i < pairs.length; i += 2) {
                if (pairs[i].equals(name)) {
                    return pairs[i + 1];
                }
            }
            return null;
        }

        String text(String name) {
            if (pairs == null) {
                return fields.path(name).asText();
            }
            Object value = of(name);
            return value == null ? "" : value.toString();
        }

        long number(String name) {
            return pairs == null
                    ? fields.path(name).asLong(-1)
                    : of(name) instanceof Number n ? n.longValue() : -1;
        }
    }

    private static final class Try {
        final long sentAt, deadline;
        final int controller;
        long endedAt = -1;
        String how = "";
        boolean harmless;

        Try(long sentAt, long deadline, int controller) {
            this.sentAt = sentAt;
            this.deadline = deadline;
            this.controller = controller;
        }
    }

    private static final class Visit {
        final String invoker;
        final long from;
        final int attempt, controller;
        long to = Long.MAX_VALUE, ranAt = -1;

        Visit(String invoker, long from, int attempt, int controller) {
            this.invoker = invoker;
            this.from = from;
            this.attempt = attempt;
            this.controller = controller;
        }
    }

    private static final class Call {
        int requestClass = -1;
        final TreeMap<Integer, Try> tries = new TreeMap<>();
        final List<Visit> visits = new ArrayList<>();
    }

    private record Work(long t, long micros) {}

    private static final class Box {
        long cores, coldFrom = -1;
        final ArrayDeque<Work> window = new ArrayDeque<>();
        long sum;
        final Map<Integer, Long> heard = new HashMap<>(); // controller: when its last answer left
        final Set<Integer> knows = new HashSet<>(); // controllers that can know of the restart
        long unknowingAt = Long.MIN_VALUE / 2; // last send of one that cannot
    }

    private final SchedulerSettings settings;
    private final long seenLate;
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<String, Box> boxes = new HashMap<>();
    private final Map<String, Long> toldAway =
            new HashMap<>(); // controller and invoker: since when
    private final Map<Integer, ArrayDeque<Long>> orders = new HashMap<>();
    private final Map<Integer, ArrayDeque<Long>> taken = new HashMap<>();
    private final Map<Integer, List<Long>> kills = new HashMap<>();
    private final List<Break> breaks = new ArrayList<>();
    private final Map<Rule, Integer> counts = new TreeMap<>();
    private long attempts, orderCount;
    private double coldUsed;
    private double ordersUsed;

    public Audit(SchedulerSettings settings, long seenLate) {
        this.seenLate = seenLate;
        this.settings = settings;
        for (Rule rule : Rule.values()) {
            counts.put(rule, 0);
        }
    }

    /** Judges a file of sightings. */
    public static Verdict of(Path evidence, SchedulerSettings settings) throws IOException {
        return of(evidence, settings, SEEN_LATE);
    }

    /** Judges with another allowance, in micros, for seeing things late. */
    public static Verdict of(Path evidence, SchedulerSettings settings, long seenLate)
            throws IOException {
        Audit audit = new Audit(settings, seenLate);
        ObjectMapper json = new ObjectMapper();
        try (BufferedReader lines = Files.newBufferedReader(evidence)) {
            int number = 0;
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                number++;
                if (line.isBlank()) {
                    continue;
                }
                JsonNode n;
                try {
                    n = json.readTree(line);
                } catch (IOException e) {
                    throw new IOException(
                            evidence
                                    + ":"
                                    + number
                                    + ": not a sighting: "
                                    + e.getMessage().split("\n")[0]);
                }
                audit.see(
                        new Sighting(
                                n.path("t").asLong(),
                                n.path("who").asText(),
                                n.path("what").asText(),
                                n,
                                null));
            }
        }
        return audit.verdict();
    }

    /** One sighting as it is seen, of a day that is not written down. */
    public void see(long at, String who, String what, Object... pairs) {
        see(new Sighting(at, who, what, null, pairs));
    }

    private void broke(Rule rule, long at, String text) {
        if (counts.merge(rule, 1, Integer::sum) <= TOLD) {
            breaks.add(new Break(rule, at, text));
        }
    }

    private void see(Sighting s) {
        int controller = (int) s.number("controller");
        switch (s.what()) {
            case "sent" -> sent(s, controller);
            case "answer", "left", "cut", "unreached", "unanswered" -> ended(s);
            case "strays" ->
                    broke(
                            Rule.ONE_ANSWER,
                            s.t(),
                            "controller "
                                    + controller
                                    + " sent more than its answers "
                                    + s.number("count")
                                    + " times");
            case "attempt" -> attempt(s, controller);
            case "ran" -> visit(s).ranAt = s.t();
            case "answered", "closed" -> {
                if (s.what().equals("answered")) {
                    box(s.who()).heard.put(controller, s.t());
                }
                Visit v = visit(s);
                v.to =
                        Math.min(
                                v.to,
                                s.t()
                                        - Math.max(
                                                0,
                                                s.number(
                                                        "lag"))); // the earliest it can have closed
            }
            case "order" -> order(s, controller);
            case "told" -> {
                box(s.text("invoker")).knows.add(controller);
                String key = controller + " " + s.text("invoker");
                if (s.text("state").equals("passing")) {
                    toldAway.remove(key);
                } else {
                    toldAway.putIfAbsent(key, s.t());
                }
            }
            case "began" -> {
                Box box = box(s.who());
                box.cores = s.number("cores");
            }
            case "up" -> {
                Box box = box(s.who());
                box.coldFrom = s.t();
                box.window.clear();
                box.sum = 0;
            }
            case "down" -> {
                Box box = box(s.who());
                box.knows.clear();
                box.heard.forEach(
                        (c, at) -> {
                            if (at > s.t() - CONNECTED) {
                                box.knows.add(c);
                            }
                        });
                calls.values()
                        .forEach(
                                c ->
                                        c.visits.forEach(
                                                v -> {
                                                    if (v.invoker.equals(s.who())
                                                            && v.to == Long.MAX_VALUE) {
                                                        v.to = s.t();
                                                    }
                                                }));
            }
            case "fell" -> {
                if (box(s.who()).unknowingAt < s.t() - settings.rules().overloadWindowMicros()) {
                    broke(
                            Rule.COLD_SPARED,
                            s.t(),
                            "invoker " + s.who() + " was pushed over while cold");
                }
            }
            case "controller_killed" ->
                    kills.computeIfAbsent(controller, c -> new ArrayList<>()).add(s.t());
            default -> {}
        }
    }

    private Box box(String id) {
        return boxes.computeIfAbsent(id, x -> new Box());
    }

    private Call call(Sighting s) {
        return calls.computeIfAbsent(s.text("id"), x -> new Call());
    }

    /** The latest visit of this attempt at this invoker. */
    private Visit visit(Sighting s) {
        List<Visit> visits = call(s).visits;
        for (int i = visits.size() - 1; i >= 0; i--) {
            Visit v = visits.get(i);
            if (v.invoker.equals(s.who())
                    && v.attempt == s.number("attempt")
                    && v.controller == s.number("controller")) {
                return v;
            }
        }
        Visit unseen =
                new Visit(s.who(), s.t(), (int) s.number("attempt"), (int) s.number("controller"));
        visits.add(unseen);
        return unseen;
    }

    private void sent(Sighting s, int controller) {
        Call call = call(s);
        call.requestClass = (int) s.number("class");
        call.tries.put(
                (int) s.number("try"), new Try(s.t(), s.t() + s.number("deadline"), controller));
        taken.computeIfAbsent(controller, c -> new ArrayDeque<>()).add(s.t());
    }

    private void ended(Sighting s) {
        Try t = call(s).tries.get((int) s.number("try"));
        if (t == null) {
            broke(Rule.ONE_ANSWER, s.t(), "an end for a try never sent, call " + s.text("id"));
            return;
        }
        if (t.endedAt >= 0) {
            broke(Rule.ONE_ANSWER, s.t(), "a second end of call " + s.text("id"));
            return;
        }
        t.endedAt = s.t();
        t.how = s.what().equals("answer") ? s.text("status") : s.what();
        t.harmless = s.number("harmless") == 1;
    }

    private void attempt(Sighting s, int controller) {
        attempts++;
        call(s).visits.add(new Visit(s.who(), s.t(), (int) s.number("attempt"), controller));
        away(s, controller, "call");
        Box box = box(s.who());
        if (box.coldFrom >= 0 && box.knows.contains(controller)) {
            cold(s, box);
        } else if (box.coldFrom >= 0) {
            box.unknowingAt =
                    s.t(); // it was told nothing yet and had no connection there that could tell
        }
    }

    private void away(Sighting s, int controller, String what) {
        Long since = toldAway.get(controller + " " + s.who());
        if (since != null && s.t() > since + settings.rules().drainGraceMicros() + seenLate) {
            broke(
                    Rule.DRAINS_KEPT,
                    s.t(),
                    String.format(
                            "controller %d sent a %s to %s %.0f ms after it was told away",
                            controller, what, s.who(), (s.t() - since) / 1e3));
        }
    }

    /**
     * Work sent within the window against the stated multiple of what the invoker could do in it.
     */
    private void cold(Sighting s, Box box) {
        Rules rules = settings.rules();
        double age = (s.t() - box.coldFrom) / (double) Math.max(1, rules.slowStartMicros());
        if (age >= 1) {
            return;
        }
        box.window.add(new Work(s.t(), s.number("work")));
        box.sum += s.number("work");
        while (box.window.peek().t() < s.t() - rules.overloadWindowMicros()) {
            box.sum -= box.window.poll().micros();
        }
        double share = rules.slowStartInitialShare() + (1 - rules.slowStartInitialShare()) * age;
        double most = rules.overloadMultiple() * share * box.cores * rules.overloadWindowMicros();
        coldUsed = Math.max(coldUsed, box.sum / most);
        if (box.sum > most) {
            broke(
                    Rule.COLD_SPARED,
                    s.t(),
                    String.format(
                            "cold invoker %s was sent %.2f times its budget",
                            s.who(), box.sum / most));
        }
    }

    private void order(Sighting s, int controller) {
        if (s.number("copies") <= 0) {
            return;
        }
        orderCount++;
        away(s, controller, "load order");
        Preloading loading = settings.preloading();
        if (loading.preloadPeriodMicros() <= 0) {
            return;
        }
        ArrayDeque<Long> own = orders.computeIfAbsent(controller, c -> new ArrayDeque<>());
        ArrayDeque<Long> in = taken.computeIfAbsent(controller, c -> new ArrayDeque<>());
        own.add(s.t());
        while (!own.isEmpty() && own.peek() < s.t() - loading.preloadPeriodMicros() + seenLate) {
            own.poll();
        }
        while (!in.isEmpty() && in.peek() < s.t() - loading.preloadPeriodMicros() - seenLate) {
            in.poll();
        }
        double may = loading.freePreloads() + loading.preloadsPerRequest() * in.size();
        ordersUsed = Math.max(ordersUsed, own.size() / Math.max(1, may));
        if (own.size() > may) {
            broke(
                    Rule.ORDERS_RATIONED,
                    s.t(),
                    "controller "
                            + controller
                            + " gave "
                            + own.size()
                            + " load orders in the period for "
                            + in.size()
                            + " calls");
        }
    }

    public Verdict verdict() {
        Map<String, Long> ends = new TreeMap<>();
        Histogram latency = new Histogram(3_600_000_000L, 3);
        double worth = 0;
        double asked = 0;
        for (Map.Entry<String, Call> each : calls.entrySet()) {
            Call call = each.getValue();
            if (call.tries.isEmpty()) {
                broke(
                        Rule.ONE_ANSWER,
                        0,
                        "an invoker saw call " + each.getKey() + ", which no client sent");
                continue;
            }
            oneAnswer(each.getKey(), call);
            noDoubleEffect(each.getKey(), call);
            RequestClass kind = settings.classes().get(call.requestClass);
            asked += kind.priorityWeight();
            Try last = call.tries.lastEntry().getValue();
            ends.merge(kind.name() + " " + last.how, 1L, Long::sum);
            if (last.how.equals("200")) {
                long took = last.endedAt - call.tries.firstEntry().getValue().sentAt;
                latency.recordValue(Math.min(3_600_000_000L, took));
                worth +=
                        kind.priorityWeight()
                                * (took <= kind.objectiveMicros() ? 1 : kind.latePriorityWeight());
            }
        }
        return new Verdict(
                breaks,
                counts,
                asked == 0 ? 0 : worth / asked,
                calls.size(),
                attempts,
                orderCount,
                ends,
                latency,
                Math.round(coldUsed * 100),
                Math.round(ordersUsed * 100));
    }

    /** Rule 1. What a controller held when it was killed is the client's to retry. */
    private void oneAnswer(String id, Call call) {
        call.tries.forEach(
                (number, t) -> {
                    boolean held =
                            kills.getOrDefault(t.controller, List.of()).stream()
                                    .anyMatch(k -> k >= t.sentAt - KILL_SPAN && k <= t.deadline);
                    if (t.endedAt < 0 || t.how.equals("unanswered") || t.how.equals("cut")) {
                        if (!held) {
                            broke(
                                    Rule.ONE_ANSWER,
                                    t.sentAt,
                                    "call " + id + " got no answer (" + t.how + ")");
                        }
                        return;
                    }
                    if (!t.how.equals("left")
                            && t.endedAt
                                    > t.deadline
                                            + settings.rules().responseSlackMicros()
                                            + seenLate) {
                        broke(
                                Rule.ONE_ANSWER,
                                t.endedAt,
                                String.format(
                                        "call %s was answered %.0f ms past its time",
                                        id, (t.endedAt - t.deadline) / 1e3));
                    }
                    Try next = call.tries.get(number + 1);
                    for (Visit v : call.visits) {
                        if (v.controller == t.controller
                                && v.from > t.endedAt + seenLate
                                && (next == null || v.from < next.sentAt)) {
                            broke(
                                    Rule.ONE_ANSWER,
                                    v.from,
                                    "call " + id + " was sent on after its end");
                        }
                    }
                });
    }

    /** Rule 2. */
    private void noDoubleEffect(String id, Call call) {
        RequestClass kind = settings.classes().get(call.requestClass);
        List<Visit> visits = call.visits;
        visits.sort(Comparator.comparingLong(v -> v.from));
        Visit first = null;
        for (Visit v : visits) {
            if (v.ranAt >= 0) {
                if (first != null && kind.idempotency() == Idempotency.NON_IDEMPOTENT) {
                    broke(Rule.NO_DOUBLE_EFFECT, v.ranAt, "unsafe call " + id + " ran twice");
                }
                if (first != null && kind.idempotency() == Idempotency.KEYED) {
                    broke(
                            Rule.NO_DOUBLE_EFFECT,
                            v.ranAt,
                            "keyed call " + id + " ran outside its group or window");
                }
                first = first == null ? v : first;
            }
        }
        boolean freely =
                kind.idempotency() == Idempotency.IDEMPOTENT
                        || (kind.idempotency() == Idempotency.KEYED
                                && kind.deduplicationScope() == DeduplicationScope.ALL);
        if (first != null && !freely) {
            for (Try t : call.tries.values()) {
                if (t.endedAt > first.ranAt && t.harmless) {
                    broke(
                            Rule.NO_DOUBLE_EFFECT,
                            t.endedAt,
                            "call " + id + " ran and was refused as harmless");
                }
            }
        }
        if (!settings.limits().mayHedge()) {
            for (int i = 1; i < visits.size(); i++) {
                Visit before = visits.get(i - 1);
                Visit v = visits.get(i);
                boolean same = before.controller == v.controller;
                if (same && before.to != Long.MAX_VALUE && before.to > v.from + seenLate) {
                    broke(
                            Rule.NO_DOUBLE_EFFECT,
                            v.from,
                            "call " + id + " had two attempts out at once");
                }
            }
        }
    }
}
