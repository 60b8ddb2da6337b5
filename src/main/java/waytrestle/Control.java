package waytrestle;

import java.util.*;

/**
 * Every decision of a controller. The interface (settings, events, actions) is ControlApi.java.
 *
 * The mechanism: for each request, estimate each invoker's finish time as queue + run + load-if-cold,
 * send to the lowest, refuse early when even the best estimate exceeds the time left. Everything else
 * here filters the candidates or corrects a term of that estimate. Methods follow a request's path.
 */
public final class Control implements ControlApi {
    // ---- Tuned numbers; times are microseconds. ----
    private static final double NEWS = 0.1;  // weight of an answer in averages: about the last ten count
    private static final double SHY = 0.2;  // weight of "as usual" when an invoker's slowness is judged
    private static final double REPORT_NEWS = 0.3;  // weight of a load report: noisy, yet few must suffice
    private static final double SLOW_NEWS = 0.3;  // less weight for slow answers: crowds must not be usual
    private static final double FIRST_RUN_SHARE = 0.2;  // of the aim: run time before any answer
    private static final double SOFT_CROWD = 4;  // requests an invoker is thought to run unhindered
    private static final double COLD_TIE = 0.5;  // of a load time: cold invokers so close are level
    private static final double WARM_TIE = 0.15;  // of the aim: warm invokers so close are level
    private static final double LOAD_CROWD = 0.2;  // of a load time: delay by each load under way there
    private static final double WORTH_FLOOR = 0.6;  // of the aim: what a worthless request waits in a jam
    private static final double JAM = 2;  // run times: a longer finish is the crowd's, not the function's
    private static final double WIDTH = 1.5;  // headroom over the share of the fleet that calls would fill
    private static final double QUICK = 0.3;  // of a usual run: what the quicker calls of a function need
    private static final double ASK = 0.1;  // of calls a guess would refuse: asked, or it is never put right
    private static final long HOLD = 40_000;  // between looks at held requests: a fraction of any aim
    private static final long SUSPECT = 300_000;  // first pause after a failed connection; doubles
    private static final long SILENCE = 400_000;  // of an invoker with work out: some runs, not one slow call
    private static final double SILENT_RUNS = 8;  // usual runs without a word: hardly chance with several out
    private static final int SILENT_OUT = 2;  // warm attempts out for that; one may just be long
    private static final long AT_ONCE = 50_000;  // in which all attempts at a process that ends break
    private static final double CHANCE = 0.002;  // so rarely may broken connections in a row be chance
    private static final long SUSPECT_MOST = 4_000_000;  // longest such pause: about a restart
    private static final long FULL_PAUSE = 80_000;  // after a full answer: less than a run; doubles in a row
    private static final long FULL_MOST = 600_000;  // longest such pause: a few runs drain a queue
    private static final int ORDERS_EACH = 2;  // load orders out at one invoker: the design's small bound
    private static final int MISSES = 2;  // after so many a request waits for its load
    private static final double COLD_MARGIN = 0.7;  // of the cold budget: chance and others need the rest
    private static final double COLD_SPREAD = 1.3;  // of one over the root of all sends: few vary more
    private static final double COLD_CHANCE = 0.3;  // less where the share is below one send: lotteries
    private static final double MIX_NEWS = 0.02;  // weight of an answer in the mix of all functions
    private static final double RATE_SPAN = 4_000_000;  // over which rates and reports fade: beyond a burst
    private static final long UPKEEP = 250_000;  // between rounds of upkeep: fine against keep-alives
    private static final double RENEW_AT = 0.7;  // of the keep-alive: time is left for lost orders
    private static final double RENEW_FOR = 2.5;  // keep-alives without a call: then it is let go
    private static final double FORGET = 10;  // keep-alives without a call: its times are forgotten too
    private static final int RENEW_CALLS = 2;  // before a function is worth keeping: one may be the only

    // ---- What this controller remembers. ----
    private static final class Worker {
        final String id;
        final long hash;
        Invoker entry;
        boolean ready;
        long coldSince;           // start of the present process, 0 when long past
        int out;                  // own attempts out
        double cost;              // for the choice in hand; infinite when no candidate
        int warmOut;              // of them those not waiting for a load
        int ordersOut;
        int loading;              // functions believed to be loading there
        long quietSince;          // last heard, or first send after idleness
        double slowness = 1;      // answers' time over the functions' usual times, both averaged
        double tookSum, usualSum;
        double crowdThen;         // crowd at the sends behind that slowness
        double queued;            // requests waiting there, from reports
        double others;            // crowd of other controllers, from reports
        long reportedAt;
        final HashMap<Integer, Fading> failing = new HashMap<>();  // share of failed attempts, by scope
        long fullUntil, noLoadsUntil;
        int strikes, resets;      // failed connections, broken ones: in a row
        boolean lost;             // since then taken for a process that has ended
        long resetAt;
        long pausedUntil;
        int fulls;                // full answers in a row
        long coldWindow;          // the window that the draw below is for
        double coldDraw;
        double coldWork;          // size of the sends below
        final ArrayDeque<ColdSend> coldSends = new ArrayDeque<>();
        final LinkedHashMap<String, Copy> copies = new LinkedHashMap<>();

        Worker(String id) {
            this.id = id;
            this.hash = mix(id);
        }

        void clear() {
            copies.clear();
            loading = ordersOut = 0;
        }
    }

    private record ColdSend(long at, double size) { }

    /** The belief that an invoker holds a function, from this controller's own sends and answers. */
    private static final class Copy {
        Function function;
        int count = 1;
        int out;
        double company;           // other controllers' requests for the function there
        long usedAt;
        long loadingSince;        // 0: stands loaded
        double doubt = 1;         // chance that it must be loaded at all, while loadingSince is set
        boolean ordered;
    }

    /** A count that fades. */
    private static final class Fading {
        double value, span;
        long at;

        Fading(double span) {
            this.span = span;
        }

        double value(long now) {
            return value * Math.exp((at - now) / span);
        }

        void add(double more, long now) {
            value = value(now) + more;
            at = now;
        }
    }

    /** A number and its mean over the past, which counts for as much as it does in a Fading. */
    private static final class Lagging {
        int value;
        double mean = -1;
        long at;

        double mean(long now) {
            return value + (mean - value) * Math.exp((at - now) / RATE_SPAN);
        }

        void set(int to, long now) {
            mean = mean < 0 ? to : mean(now);
            value = to;
            at = now;
        }
    }

    private static final class Function {
        final String id;
        final double slot;        // own place among the invokers that a hot function needs, 0 to 1
        final Fading recent;      // calls within about a keep-alive
        final long hash;
        int requestClass, lanes = 1;
        long toldLoad;
        double run;               // usual time of a warm answer, micros
        int runs, calls;
        long calledAt;
        Worker keeper;            // for the upkeep in hand

        Function(String id, double slot, double span) {
            this.id = id;
            this.slot = slot;
            this.recent = new Fading(span);
            this.hash = mix(id);
        }
    }

    private static final class Attempt {
        Worker worker;
        Copy copy;
        boolean cold, ended;
        int guess = -1;           // where no copy was believed: 0 at the first asked, 1 further on
        long sentAt;
        double crowd;
    }

    private static final class Call {
        long id, takenAt, deadline;
        RequestClass kind;
        int scope;                // of its class and tenant: some invokers turn only one of them away
        Function function;
        final List<Attempt> attempts = new ArrayList<>();
        int out;
        boolean mayHaveRun;       // some ended attempt is not proved never to have run
        Worker boundTo;           // where the first such attempt went
        long boundAt;
        boolean streaming, held, waited, over;
        int misses;
        final List<Worker> tried = new ArrayList<>();
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final Fading recent;  // all calls within about a keep-alive
    private final long phase;     // own start of the windows of the cold budget, micros
    private final LinkedHashMap<String, Worker> workers = new LinkedHashMap<>();
    private final LinkedHashMap<String, Function> functions = new LinkedHashMap<>();
    private final HashMap<Long, Call> calls = new HashMap<>();
    private final ArrayDeque<Long> ordersSent = new ArrayDeque<>();
    private final ArrayDeque<Long> taken = new ArrayDeque<>();
    private double meanOthers, meanQueued;  // of all invokers' reports
    private double guessChance;   // for the choice in hand: that an invoker believed cold is so
    private double broken;        // share of all attempts whose connection broke
    private double meanRun;       // usual run time of an answer, whatever its function
    private double loadAverage;   // measured extra latency of cold sends, micros; 0 unmeasured
    private final double[] coldChance = {0.5, 0.5};  // that a guess finds no copy: first asked, further on
    private final HashMap<Integer, Fading> servedByKind = new HashMap<>();  // answers, by kind of invoker
    private final HashMap<Integer, Lagging> readyByKind = new HashMap<>();
    private boolean started;
    private long now;
    private long estimated = -1;  // behind the last choice or refusal, for whoever tells why
    private Actions actions;

    public Control(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.recent = new Fading(keepAlive());
        this.phase = random.nextLong(1 + settings.rules().overloadMicros());
    }

    @Override
    public void on(long nowMicros, Event event, Actions out) {
        now = nowMicros;
        actions = out;
        estimated = -1;
        if (event instanceof Request e) {
            request(e);
        } else if (event instanceof AttemptEnded e) {
            attemptEnded(e);
        } else if (event instanceof OrderEnded e) {
            orderEnded(e);
        } else if (event instanceof TimerFired e) {
            timer(e.tag());
        } else if (event instanceof InvokerList e) {
            list(e);
        } else if (event instanceof InvokerListFailed) {
            actions.add(new SetTimer(Math.max(UPKEEP, settings.rules().askEveryMicros() / 8), "subscribe"));
        } else if (event instanceof StreamBegan e) {
            streamBegan(e);
        } else if (event instanceof RequestGone e) {
            forget(calls.get(e.id()));
        }
    }

    @Override
    public long estimateMicros() {
        return estimated;
    }

    private void request(Request e) {
        Function f = functions.computeIfAbsent(e.function(),
                id -> new Function(id, random.nextDouble(), keepAlive()));
        f.calls++;
        f.calledAt = now;
        f.recent.add(1, now);
        recent.add(1, now);
        f.requestClass = e.requestClass();
        f.lanes = Math.max(1, e.lanes());
        f.toldLoad = e.loadMicros();
        taken.add(now);
        Call call = new Call();
        call.id = e.id();
        call.takenAt = now;
        call.kind = settings.classes().get(e.requestClass());
        call.scope = e.tenant() * settings.classes().size() + e.requestClass();
        call.function = f;
        call.deadline = now + e.timeLeftMicros();
        calls.put(call.id, call);
        actions.add(new SetTimer(Math.max(1, e.timeLeftMicros() - settings.tickMicros()), "end:" + call.id));
        route(call);
    }

    /**
     * The ordinary path: the lowest estimated finish, or an early refusal. A refusal for a load that
     * outlasts the request orders the load all the same, or a slow function would be refused for ever.
     */
    private void route(Call call) {
        call.held = false;
        if (call.over || call.streaming || call.out > 0) {
            return;
        }
        if (call.attempts.size() >= Math.max(1, settings.limits().maxAttempts()) || !mayResend(call)) {
            end(call);
            return;
        }
        guessChance = call.misses >= MISSES ? 1 : coldChance[call.attempts.isEmpty() ? 0 : 1];
        Worker best = lowest(call);
        if (best == null) {
            call.tried.clear();
            hold(call, HOLD);
            return;
        }
        boolean coldBest = copyAt(best, call.function) == null;
        boolean misses = settings.loading().missAnswers() && settings.loading().orders();
        double estimate = estimate(call.function, best, false);
        estimated = (long) estimate;
        double soonest = estimate - (1 - QUICK) * runAt(call.function, best);
        long left = call.deadline - now;
        boolean late = soonest > left;
        boolean guessed = misses && coldBest && call.attempts.isEmpty()
                && soonest - load(call.function, best, false) <= left;
        boolean hopeless = (late && !(guessed && random.nextDouble() < ASK)) || jammed(call, best);
        if (hopeless && mayRefuse(call)) {
            Worker more = coldBest ? best : uncrowded(call);
            if (more != null) {
                order(more, call.function, 1);
            }
            refuse(call, (long) estimate);
            return;
        }
        if (best.fullUntil > now) {
            hold(call, Math.min(HOLD, best.fullUntil - now));
            return;
        }
        if (misses && call.misses >= MISSES && (coldBest || !call.waited)) {
            call.waited = true;
            order(best, call.function, 1);
            hold(call, HOLD);         // a send at once could overtake the order
            return;
        }
        send(call, best);
    }

    /**
     * Guards against a jam, whatever filled it (burst, lost invokers, slow ones): when even the best
     * invoker would answer past the aim because of its crowd, serving late only makes the next late too.
     * What is worth least gives way first. It can hurt where a crowd is about to pass.
     */
    private boolean jammed(Call call, Worker best) {
        Copy copy = copyAt(best, call.function);
        if (copy != null && copy.loadingSince > 0) {
            return false;
        }
        double crowded = waitAndRun(call.function, best);
        double most = settings.classes().stream().mapToDouble(RequestClass::worth).max().orElse(0);
        double worth = copy == null || most == 0 ? 1 : call.kind.worth() / most;
        double share = WORTH_FLOOR + (1 - WORTH_FLOOR) * worth;
        boolean late = now - call.takenAt + crowded > share * call.kind.aimMicros();
        return late && crowded > JAM * runTime(call.function);
    }

    /** In a jam of some invokers only: where one more copy would help the next calls. */
    private Worker uncrowded(Call call) {
        Worker other = highest(call, false, COLD_TIE * loadTime(call.function, true));
        return other == null || runAt(call.function, other) >= call.kind.aimMicros() ? null : other;
    }

    /**
     * The lowest cost. Level ones, warm or cold alike, are told apart by rank and not at random: against
     * copies strewn over the fleet by controllers that cannot agree, which push each other out of memory.
     */
    private Worker lowest(Call call) {
        Worker warm = highest(call, true, WARM_TIE * call.kind.aimMicros());
        Worker cold = highest(call, false, COLD_TIE * loadTime(call.function, true));
        boolean load = warm == null || (cold != null && cost(call, cold) < cost(call, warm));
        return load ? cold : warm;
    }

    private Worker highest(Call call, boolean warm, double tolerance) {
        Function f = call.function;
        double least = Double.MAX_VALUE;
        for (Worker w : workers.values()) {
            boolean eligible = candidate(call, w) && warm == (copyAt(w, f) != null);
            w.cost = eligible ? cost(call, w) : Double.POSITIVE_INFINITY;
            least = Math.min(least, w.cost);
        }
        int place = warm ? 0 : (int) (f.slot * (width(f) - call.attempts.size()));
        Worker best = null;
        for (int i = 0; i <= place; i++) {
            Worker next = null;
            for (Worker w : workers.values()) {
                boolean below = best == null || rank(f, w) < rank(f, best);
                if (w.cost <= least + tolerance && below && (next == null || rank(f, w) > rank(f, next))) {
                    next = w;
                }
            }
            best = next == null ? best : next;
        }
        return best;
    }

    /**
     * Invokers that a function's share of all calls would fill, with headroom: each controller starts at a
     * place of its own among so many best-ranked. Few calls count for less: chance must not strew copies.
     */
    private double width(Function f) {
        double sure = f.recent.value(now) - Math.sqrt(f.recent.value(now));
        return Math.max(1, WIDTH * workers.size() * sure / Math.max(1, recent.value(now)));
    }

    /** Guards as filters: drains, health, what this request has tried, repeats, the cold budget. */
    private boolean candidate(Call call, Worker w) {
        boolean loads = now >= w.noLoadsUntil || copyAt(w, call.function) != null;
        return loads && w.ready && !paused(w) && !call.tried.contains(w) && mayRepeatAt(call, w)
                && coldBudgetLeft(w, call.function);
    }

    /** A paused invoker is left alone; after the pause one attempt at a time tries it. */
    private boolean paused(Worker w) {
        return now < w.pausedUntil || (w.strikes > 0 && w.out > 0);
    }

    // ---- The estimate: queue + run + load. ----
    private double estimate(Function f, Worker w, boolean ranking) {
        return waitAndRun(f, w) + load(f, w, ranking);
    }

    private double waitAndRun(Function f, Worker w) {
        Copy copy = copyAt(w, f);
        double run = runAt(f, w);
        double queue = believed(w, w.queued, meanQueued) * runTime(f) / SOFT_CROWD;
        if (copy != null) {
            double lanes = copy.count * (double) f.lanes;
            queue += Math.max(0, copy.out + copy.company + 1 - lanes) * run / lanes;
        }
        double silence = w.warmOut > 0 ? Math.max(0, now - w.quietSince - 2 * run) : 0;
        return queue + run + silence + Math.max(0, w.fullUntil - now);
    }

    private double load(Function f, Worker w, boolean ranking) {
        Copy copy = copyAt(w, f);
        double full = loadTime(f, ranking);
        if (copy == null) {
            return (ranking ? guessChance : guessChance > 0.5 ? 1 : 0) * full * (1 + LOAD_CROWD * w.loading);
        }
        boolean loading = copy.loadingSince > 0;
        return loading ? copy.doubt * Math.max(full * LOAD_CROWD, full - (now - copy.loadingSince)) : 0;
    }

    private double runAt(Function f, Worker w) {
        return runTime(f) * w.slowness * (crowd(w) + SOFT_CROWD)
                / ((w.usualSum == 0 ? meanOthers : w.crowdThen) + SOFT_CROWD);
    }

    /** The estimate with what a choice costs beyond time: crossings and failures, in units of the aim. */
    private double cost(Call call, Worker w) {
        double aim = call.kind.aimMicros();
        double crossing = w.entry.zone() != settings.zone() ? settings.prices().crossZone() * aim : 0;
        Fading failing = w.failing.get(call.scope);
        double again = failing == null ? 0 : failing.value(now) * 2 * aim;
        return estimate(call.function, w, true) + crossing + again;
    }

    /** Requests at work there; those that wait for a load use no core. */
    private double crowd(Worker w) {
        return w.warmOut + believed(w, w.others, meanOthers);
    }

    /** What was last reported, fading to the average of all: an invoker not heard counts as average. */
    private double believed(Worker w, double reported, double mean) {
        double fresh = w.reportedAt == 0 ? 0 : Math.exp((w.reportedAt - now) / RATE_SPAN);
        return mean + (reported - mean) * fresh;
    }

    private double runTime(Function f) {
        return f.run > 0 ? f.run : FIRST_RUN_SHARE * settings.classes().get(f.requestClass).aimMicros();
    }

    /** Told or measured load time; unmeasured it ranks cold behind warm and counts nought for refusal. */
    private double loadTime(Function f, boolean ranking) {
        if (f.toldLoad > 0 || loadAverage > 0) {
            return f.toldLoad > 0 ? Math.max(f.toldLoad, loadAverage / 2) : loadAverage;
        }
        return ranking ? settings.classes().get(f.requestClass).deadlineMicros() : 0;
    }

    private Copy copyAt(Worker w, Function f) {
        Copy copy = w.copies.get(f.id);
        return copy != null && lapsed(copy) ? null : copy;
    }

    private boolean lapsed(Copy copy) {
        return copy.out == 0 && copy.loadingSince == 0 && now - copy.usedAt > keepAlive();
    }

    private long keepAlive() {
        return Math.max(1, settings.loading().keepAliveMicros());
    }

    /** Rendezvous rank: controllers that share nothing meet at the same copies. */
    private static long rank(Function f, Worker w) {
        long x = (f.hash ^ w.hash) * 0x9E3779B97F4A7C15L;
        x ^= x >>> 32;
        x *= 0xD6E8FEB86659FD93L;
        return (x ^ (x >>> 32)) >>> 1;
    }

    private static long mix(String text) {
        long x = 0xCBF29CE484222325L;
        for (int i = 0; i < text.length(); i++) {
            x = (x ^ text.charAt(i)) * 0x100000001B3L;
        }
        return x ^ (x >>> 29);
    }

    // ---- Sending and ending. ----
    private void send(Call call, Worker w) {
        Attempt attempt = new Attempt();
        Copy copy = copyAt(w, call.function);
        attempt.cold = copy == null || copy.loadingSince > 0;
        if (copy == null) {
            attempt.guess = call.attempts.isEmpty() ? 0 : 1;
            copy = expectLoad(w, call.function);
            copy.doubt = guessChance;
        }
        attempt.worker = w;
        attempt.copy = copy;
        attempt.sentAt = now;
        attempt.crowd = crowd(w);
        copy.usedAt = now;
        copy.out++;
        w.out++;
        if (!attempt.cold && w.warmOut++ == 0) {
            w.quietSince = now;
        }
        if (cold(w)) {
            w.coldSends.add(new ColdSend(now, size(call.function)));
            w.coldWork += size(call.function);
        }
        call.out++;
        call.attempts.add(attempt);
        actions.add(new Send(call.id, w.id, 0));
    }

    private Copy expectLoad(Worker w, Function f) {
        Copy copy = new Copy();
        copy.function = f;
        copy.loadingSince = copy.usedAt = now;
        w.loading++;
        w.copies.put(f.id, copy);
        return copy;
    }

    private void loaded(Worker w, Copy copy) {
        if (copy.loadingSince > 0) {
            copy.loadingSince = 0;
            w.loading = Math.max(0, w.loading - 1);
        }
    }

    private void hold(Call call, long micros) {
        call.held = true;
        actions.add(new SetTimer(micros, "hold:" + call.id));
    }

    private void refuse(Call call, long comeBackAfter) {
        Limits limits = settings.limits();
        long wait = limits.retryAfter() ? Math.min(limits.maxRetryAfterMicros(), comeBackAfter) : 0;
        actions.add(new Refuse(call.id, wait));
        forget(call);
    }

    /** Ends a request that cannot be served: refused where a retry is proved harmless, else failed. */
    private void end(Call call) {
        estimated = -1;
        if (mayRefuse(call)) {
            refuse(call, 0);
        } else {
            actions.add(new Fail(call.id));
            forget(call);
        }
    }

    /** Attempts still out at the end are cancelled where allowed; their reports find the request here. */
    private void forget(Call call) {
        if (call == null || call.over) {
            return;
        }
        call.over = true;
        for (int i = 0; i < call.attempts.size(); i++) {
            if (!call.attempts.get(i).ended && settings.limits().cancel() && !call.streaming) {
                actions.add(new Cancel(call.id, i));
            }
        }
        if (call.out == 0) {
            calls.remove(call.id);
        }
    }

    // ---- The repeat rules. ----
    private boolean mayResend(Call call) {
        return !call.mayHaveRun || call.kind.repeat() == Repeat.SAFE || (call.kind.repeat() == Repeat.KEYED
                && now <= call.boundAt + call.kind.windowMicros() - settings.tickMicros());
    }

    private boolean mayRepeatAt(Call call, Worker w) {
        if (!call.mayHaveRun || call.kind.repeat() != Repeat.KEYED || call.kind.group() == Group.ALL) {
            return true;
        }
        return call.kind.group() == Group.ZONE ? w.entry.zone() == call.boundTo.entry.zone()
                : w.entry.cell() == call.boundTo.entry.cell();
    }

    private boolean mayRefuse(Call call) {
        return !(call.mayHaveRun || call.out > 0) || call.kind.repeat() == Repeat.SAFE
                || (call.kind.repeat() == Repeat.KEYED && call.kind.group() == Group.ALL);
    }

    private void attemptEnded(AttemptEnded e) {
        Call call = calls.get(e.id());
        if (call == null || e.attempt() < 0 || e.attempt() >= call.attempts.size()) {
            return;
        }
        Attempt attempt = call.attempts.get(e.attempt());
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        call.out--;
        attempt.worker.out--;
        attempt.copy.out--;
        attempt.worker.warmOut -= attempt.cold ? 0 : 1;
        learn(call, attempt, e);
        if (call.over && call.out == 0) {
            calls.remove(call.id);
        } else if (e.isFinal()) {
            forget(call);
        } else if (!call.over) {
            next(call, attempt, e);
        }
    }

    /** What the answer tells of the invoker, the function and its copy there. */
    private void learn(Call call, Attempt attempt, AttemptEnded e) {
        Worker w = attempt.worker;
        Copy copy = attempt.copy;
        if (List.of(Code.OK, Code.ERROR, Code.FULL, Code.MISS, Code.REJECTED).contains(e.code())) {
            w.quietSince = now;
            w.strikes = w.resets = 0;
            w.lost = false;
            report(w, e.report());
        }
        learnGuess(call.function, attempt, e);
        broken += MIX_NEWS * ((e.code() == Code.RESET ? 1 : 0) - broken);
        boolean failed = List.of(Code.ERROR, Code.RESET, Code.FULL).contains(e.code()) && !attempt.cold;
        Fading failing = w.failing.computeIfAbsent(call.scope, scope -> new Fading(keepAlive()));
        failing.add(NEWS * ((failed ? 1 : 0) - failing.value(now)), now);
        switch (e.code()) {
            case OK -> {
                learnTime(call.function, attempt, e);
                loaded(w, copy);
                copy.usedAt = now;
                w.fulls = 0;
                if (e.company() >= 0) {
                    copy.company += REPORT_NEWS * (Math.max(0, e.company() - copy.out) - copy.company);
                }
                servedByKind.computeIfAbsent(w.entry.kind(), kind -> new Fading(RATE_SPAN)).add(1, now);
                meanRun += (meanRun == 0 ? 1 : MIX_NEWS) * (runTime(call.function) - meanRun);
            }
            case REJECTED -> {        // the copy stands, and the time tells nothing of a run
                loaded(w, copy);
                copy.usedAt = now;
                w.fulls = 0;
            }
            case MISS -> {
                if (!copy.ordered) {
                    drop(w, call.function, copy);
                }
            }
            case FULL -> full(w, attempt);
            case CONNECT_FAILED -> strike(w, true);
            case RESET -> broke(w);
            default -> { }
        }
        boolean unconfirmed = copy.loadingSince > 0 && copy.out == 0 && !copy.ordered;
        if (e.start() == Start.LOAD_FAILED || unconfirmed) {  // must not go on counting as a load under way
            drop(w, call.function, copy);
        }
    }

    private void drop(Worker w, Function f, Copy copy) {
        if (w.copies.get(f.id) == copy) {
            loaded(w, copy);
            w.copies.remove(f.id);
        }
    }

    /**
     * Guards against an invoker whose connections break, by how often they do everywhere: so many in a row
     * that chance would hardly bring them are worth a pause. Only where all attempts there break at once has
     * the process ended: an invoker taken for fresh gets next to nothing until it has warmed.
     */
    private void broke(Worker w) {
        boolean atOnce = now - w.resetAt <= AT_ONCE && w.out == 0;
        w.resetAt = now;
        if (++w.resets >= Math.max(2, Math.log(CHANCE) / Math.log(Math.max(CHANCE, broken)))) {
            strike(w, atOnce);
        }
    }

    /**
     * Guards calls against an invoker that takes them and gives no sign (a machine or zone cut off): with
     * several out, or after a failed connection, silence far beyond their run is not theirs. What may be
     * repeated is taken back and estimated anew. It can hurt where an invoker only stalls: its work is lost;
     * and where calls wait for loads at invokers silence says nothing, so only where misses are answered.
     */
    private void silent(Worker w) {
        double quiet = Math.max(SILENCE, SILENT_RUNS * meanRun * Math.max(1, w.slowness));
        boolean several = w.warmOut >= SILENT_OUT || (w.warmOut > 0 && w.strikes > 0);
        boolean tells = settings.loading().missAnswers() && settings.limits().cancel();
        if (!several || now - w.quietSince <= quiet || !tells) {
            return;
        }
        w.quietSince = now;
        strike(w, false);
        for (Call call : calls.values()) {
            for (int i = 0; i < call.attempts.size(); i++) {
                Attempt attempt = call.attempts.get(i);
                boolean there = !attempt.ended && attempt.worker == w && now - attempt.sentAt > SILENCE;
                if (there && !call.over && !call.streaming && call.kind.repeat() == Repeat.SAFE) {
                    actions.add(new Cancel(call.id, i));
                }
            }
        }
    }

    /** A refused connection, or broken ones: where the process has ended, all it held went with it. */
    private void strike(Worker w, boolean ended) {
        w.strikes++;
        if (ended) {
            if (!w.lost) {
                w.clear();
            }
            w.lost = true;
            w.coldSince = now;
        }
        long pause = Math.min(SUSPECT_MOST, SUSPECT << Math.min(6, w.strikes - 1));
        w.pausedUntil = Math.max(w.pausedUntil, now + pause);
    }

    /**
     * Full for a load blocks loads there; full for a warm copy adds its pause to the invoker's queue term,
     * so that waiting is weighed against a load elsewhere: loads begun at every full answer jam the store.
     */
    private void full(Worker w, Attempt attempt) {
        long pause = Math.min(FULL_MOST, FULL_PAUSE << Math.min(6, w.fulls++));
        if (attempt.cold) {
            w.noLoadsUntil = now + pause;
        } else {
            w.fullUntil = now + pause;
        }
    }

    /** A start promised but untold is judged by time: a fleet that never tells would teach no run time. */
    private boolean told(AttemptEnded e) {
        return settings.loading().tellsStart() && e.start() != Start.UNKNOWN;
    }

    private void learnTime(Function f, Attempt attempt, AttemptEnded e) {
        boolean cold = told(e) ? e.start() != Start.WARM : attempt.cold;
        double took = e.tookMicros();
        if (cold) {
            boolean whole = told(e) ? e.start() == Start.COLD
                    : attempt.sentAt == attempt.copy.loadingSince;
            if (whole) {
                learnLoad(Math.max(1, took - runTime(f)));
            }
            return;
        }
        Worker w = attempt.worker;
        w.tookSum += NEWS * (took - w.tookSum);
        w.usualSum += NEWS * (runTime(f) - w.usualSum);
        w.slowness = (w.tookSum + SHY * runTime(f)) / (w.usualSum + SHY * runTime(f));
        w.crowdThen += NEWS * (attempt.crowd - w.crowdThen);
        double step = Math.max(NEWS, 1.0 / (f.runs + 1)) * (took > f.run && f.runs > 0 ? SLOW_NEWS : 1);
        f.run = f.runs++ == 0 ? took : f.run + step * (took - f.run);
    }

    /**
     * How often a guess finds no copy. Invokers are asked by rank, so others' copies are where this
     * controller asks first; without this thin traffic would see nearly every call as a cold start.
     */
    private void learnGuess(Function f, Attempt attempt, AttemptEnded e) {
        if (attempt.guess >= 0 && (e.code() == Code.OK || e.code() == Code.MISS)) {
            boolean late = e.tookMicros() > runTime(f) + loadTime(f, true) / 2;
            boolean warm = told(e) ? e.start() == Start.WARM : !late;
            double found = e.code() == Code.OK && warm ? 0 : 1;
            coldChance[attempt.guess] += NEWS * (found - coldChance[attempt.guess]);
        }
    }

    private void learnLoad(double micros) {
        loadAverage = loadAverage == 0 ? micros : loadAverage + NEWS * (micros - loadAverage);
    }

    /** Requests in hand tell the crowd of others; where untold, the queue does, less a waiter a load. */
    private void report(Worker w, Map<String, Double> report) {
        if (report.isEmpty()) {
            return;
        }
        Double inflight = report.get("inflight");
        double waiting = report.getOrDefault("queue", 0.0);
        double others = inflight == null ? 0 : Math.max(0, inflight - waiting - w.warmOut);
        double queued = inflight == null ? Math.max(0, waiting - report.getOrDefault("x1", 0.0)) : 0;
        double before = believed(w, w.others, meanOthers);
        w.others = before + REPORT_NEWS * (others - before);
        before = believed(w, w.queued, meanQueued);
        w.queued = before + REPORT_NEWS * (queued - before);
        meanOthers += NEWS * (others - meanOthers);
        meanQueued += NEWS * (queued - meanQueued);
        w.reportedAt = now;
    }

    /** After an attempt that did not serve: the next best; after a miss the route sees to an order. */
    private void next(Call call, Attempt attempt, AttemptEnded e) {
        boolean proved = e.code() == Code.FULL || e.code() == Code.CONNECT_FAILED || e.code() == Code.MOOT
                || e.code() == Code.MISS;
        if (!proved && !call.mayHaveRun) {
            call.mayHaveRun = true;
            call.boundTo = attempt.worker;
            call.boundAt = attempt.sentAt;
        }
        if (now >= call.deadline - settings.tickMicros() || e.code() == Code.MOOT) {
            end(call);
        } else if (e.code() == Code.MISS && settings.loading().orders()) {
            call.misses++;
            if (attempt.copy.ordered) {
                hold(call, HOLD);
                return;
            }
            if (call.misses == 1) {
                order(attempt.worker, call.function, 1);
            }
            route(call);
        } else {
            call.tried.add(attempt.worker);
            route(call);
        }
    }

    private boolean order(Worker w, Function f, int copies) {
        Copy copy = w.copies.get(f.id);
        if (copy != null && copy.ordered) {
            return true;
        }
        if (!w.ready || !settings.loading().orders() || w.ordersOut >= ORDERS_EACH || !rationLeft()) {
            return false;
        }
        copy = copy == null ? expectLoad(w, f) : copy;
        copy.ordered = true;
        w.ordersOut++;
        ordersSent.add(now);
        actions.add(new Order(w.id, f.id, copies));
        return true;
    }

    private boolean rationLeft() {
        long period = settings.loading().loadPeriodMicros();
        if (period <= 0) {
            ordersSent.clear();
            return true;
        }
        trim(ordersSent, period);
        trim(taken, period);
        return ordersSent.size() + 1 <= settings.loading().freeLoads()
                + settings.loading().loadRatio() * taken.size();
    }

    private void trim(ArrayDeque<Long> times, long span) {
        while (!times.isEmpty() && times.peekFirst() < now - span) {
            times.removeFirst();
        }
    }

    private void orderEnded(OrderEnded e) {
        Function f = functions.get(e.function());
        Worker w = workers.get(e.invoker());
        if (f == null) {
            return;
        }
        boolean stands = e.copies() > 0;
        if (w != null && e.code() == Code.CONNECT_FAILED) {
            strike(w, true);
        } else if (w != null && e.code() == Code.RESET) {
            broke(w);
        }
        Copy copy = w == null ? null : w.copies.get(f.id);
        if (copy != null && copy.ordered) {
            w.ordersOut--;
            copy.ordered = false;
            if (stands && copy.loadingSince > 0 && e.code() == Code.OK) {
                learnLoad(e.tookMicros());
            }
        }
        if (w != null && stands) {
            copy = copy == null ? expectLoad(w, f) : copy;
            loaded(w, copy);
            copy.count = e.copies();
            copy.usedAt = Math.max(copy.usedAt, now - keepAlive() / 2);
        } else if (copy != null && e.code() == Code.RESET) {
            again(w, f, copy);
        } else if (copy != null && copy.out == 0 && e.code() != Code.OK) {
            drop(w, f, copy);
        }
    }

    /**
     * Guards against orders whose connection broke: one that came whole stands all the same, and what stood
     * before still does, so it is asked for again where it was; at a process that has ended that fails, and
     * where connections break in a row the pause ends it.
     */
    private void again(Worker w, Function f, Copy copy) {
        boolean asked = !paused(w) && order(w, f, copy.count);
        if (!asked && copy.out == 0 && copy.loadingSince > 0) {
            drop(w, f, copy);
        }
    }

    // ---- Upkeep: the best-ranked copy of a function worth keeping is renewed before it lapses. ----
    private void upkeep() {
        actions.add(new SetTimer(UPKEEP, "upkeep"));
        trim(taken, Math.max(1, settings.loading().loadPeriodMicros()));
        workers.values().removeIf(w -> !w.ready && w.out == 0);
        functions.values().removeIf(f -> now - f.calledAt > FORGET * keepAlive());
        for (Worker w : workers.values()) {
            silent(w);
            w.copies.values().removeIf(this::lapsed);
            for (Copy copy : w.copies.values()) {
                Function f = copy.function;
                if (w.ready && !paused(w) && (f.keeper == null || rank(f, w) > rank(f, f.keeper))) {
                    f.keeper = w;
                }
            }
        }
        for (Function f : functions.values()) {
            Copy copy = f.keeper == null ? null : f.keeper.copies.get(f.id);
            boolean kept = f.calls >= RENEW_CALLS && now - f.calledAt < RENEW_FOR * keepAlive();
            boolean idle = copy != null && !copy.ordered && copy.out == 0;
            if (kept && idle && now - copy.usedAt > RENEW_AT * keepAlive() && order(f.keeper, f, 1)) {
                copy.usedAt = now;
            }
            f.keeper = null;
        }
    }

    // ---- The cold budget. ----
    /** Calls that one of a long function counts for; a quick one counts whole: it may be a dropped repeat. */
    private double size(Function f) {
        return meanRun == 0 ? 1 : Math.max(1, runTime(f) / meanRun);
    }

    private boolean cold(Worker w) {
        return w.coldSince > 0 && now - w.coldSince < settings.rules().warmAfterMicros();
    }

    /**
     * Guards a fresh invoker against all controllers together, each keeping its share alone: own sends
     * within the stated window stay under the stated multiple of what this controller sees an invoker of
     * the kind serve, times the share warmed so far; by size, since functions differ. A share below
     * one send opens only some windows, by the seed: hundreds of controllers then meet the budget on
     * average. It can hurt: fresh ones fill slowly.
     */
    private boolean coldBudgetLeft(Worker w, Function f) {
        if (!cold(w)) {
            return true;
        }
        Rules rules = settings.rules();
        while (!w.coldSends.isEmpty() && w.coldSends.peek().at() < now - rules.overloadMicros()) {
            w.coldWork -= w.coldSends.poll().size();
        }
        double size = size(f);
        double age = Math.max(0, now - w.coldSince) / (double) rules.warmAfterMicros();
        double share = rules.coldShare() + (1 - rules.coldShare()) * age;
        Lagging ready = readyByKind.get(w.entry.kind());  // those that served were more while a roll goes on
        double alike = ready == null ? 1 : Math.max(1, Math.max(ready.value, ready.mean(now)));
        Fading served = servedByKind.get(w.entry.kind());
        double usual = served == null ? 0 : served.value(now) / RATE_SPAN * rules.overloadMicros() / alike;
        double budget = rules.fallMultiple() * share * usual / size;
        double all = Math.sqrt(Math.max(1, budget * settings.controllers()));
        double margin = Math.min(COLD_MARGIN, 1 - COLD_SPREAD / all) - COLD_CHANCE * Math.max(0, 1 - budget);
        long window = (now + phase) / Math.max(1, rules.overloadMicros());
        if (w.coldWindow != window) {
            w.coldWindow = window;
            w.coldDraw = random.nextDouble();
        }
        return w.coldWork / size + 1 <= Math.max(1.0 / settings.controllers(), margin * budget) + w.coldDraw;
    }

    private void list(InvokerList e) {
        if (!started) {
            started = true;
            actions.add(new SetTimer(1 + random.nextLong(UPKEEP), "upkeep"));
            if (settings.discovery() == Discovery.ASKED) {
                actions.add(new Subscribe(true));
            }
        }
        if (e.whole()) {
            HashSet<String> present = new HashSet<>();
            e.entries().forEach(entry -> present.add(entry.id()));
            for (Worker w : workers.values()) {
                if (!present.contains(w.id)) {
                    w.ready = false;
                    w.clear();
                }
            }
        }
        for (Invoker entry : e.entries()) {
            Worker w = workers.computeIfAbsent(entry.id(), Worker::new);
            boolean fresh = w.entry != null && entry.upSinceMicros() > w.entry.upSinceMicros();
            if (fresh || entry.state() == State.GONE) {
                w.clear();
                w.strikes = 0;
                w.pausedUntil = 0;
                w.slowness = 1;
                w.tookSum = w.usualSum = 0;
            }
            if (fresh || w.entry == null) {
                w.coldSince = Math.max(w.coldSince, entry.upSinceMicros());
            }
            w.entry = entry;
            w.ready = entry.state() == State.READY;
        }
        HashMap<Integer, Integer> ready = new HashMap<>();
        workers.values().forEach(w -> ready.merge(w.entry.kind(), w.ready ? 1 : 0, Integer::sum));
        readyByKind.forEach((kind, n) -> n.set(ready.getOrDefault(kind, 0), now));
        ready.forEach((kind, n) -> readyByKind.computeIfAbsent(kind, k -> new Lagging()).set(n, now));
    }

    private void streamBegan(StreamBegan e) {
        Call call = calls.get(e.id());
        if (call != null && !call.over) {
            call.streaming = true;
            call.mayHaveRun = true;
        }
    }

    private void timer(String tag) {
        if (tag.equals("upkeep")) {
            upkeep();
        } else if (tag.equals("subscribe")) {
            actions.add(new Subscribe(true));
        } else {
            int colon = tag.indexOf(':');
            Call call = calls.get(Long.parseLong(tag.substring(colon + 1)));
            if (call == null || call.streaming || call.over) {
                return;
            }
            if (tag.startsWith("end:")) {
                end(call);
            } else if (call.held) {
                route(call);
            }
        }
    }
}
