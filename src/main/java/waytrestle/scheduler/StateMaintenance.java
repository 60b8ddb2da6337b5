package waytrestle.scheduler;

import waytrestle.scheduler.SchedulerCommand.SetTimer;

/** Forgets what is unused, looks for silent invokers and renews instances worth keeping alive. */
final class StateMaintenance {
    private static final long INTERVAL_MICROS = 250_000; // fine against keep-alives
    private static final int POLL_DIVISOR = 8; // of the interval: pause of a failed subscription
    private static final double RENEWAL_AGE = 0.7; // keep-alives: time is left for lost preloads
    private static final double RENEWAL_IDLE = 2.5; // keep-alives without a request: then let go
    private static final double EXPIRY = 10; // keep-alives: a function's times are forgotten too
    private static final int RENEWAL_REQUESTS = 2; // worth keeping from there on

    private final SchedulerState state;
    private final InvokerBackoff backoff;
    private final PreloadPlanner preloads;

    StateMaintenance(SchedulerState state, InvokerBackoff backoff, PreloadPlanner preloads) {
        this.state = state;
        this.backoff = backoff;
        this.preloads = preloads;
    }

    /** Sets the first timer, at random so that controllers differ. */
    void start() {
        long delay = 1 + state.random.nextLong(INTERVAL_MICROS);
        state.commands.add(new SetTimer(delay, new SchedulerTimer.Maintenance()));
    }

    /** Sets the timer that renews a subscription to endpoints. */
    void scheduleResubscription() {
        long pause = state.settings.rules().pollIntervalMicros() / POLL_DIVISOR;
        long delay = Math.max(INTERVAL_MICROS, pause);
        state.commands.add(new SetTimer(delay, new SchedulerTimer.EndpointResubscription()));
    }

    /** One round; sets the timer of the next. */
    void run() {
        state.commands.add(new SetTimer(INTERVAL_MICROS, new SchedulerTimer.Maintenance()));
        state.dropOlderThan(
                state.requestTimes, Math.max(1, state.settings.preloading().preloadPeriodMicros()));
        state.invokers.values().removeIf(invoker -> !invoker.ready && invoker.inFlight == 0);
        double expiry = EXPIRY * state.keepAliveMicros();
        state.functions.values().removeIf(each -> state.now - each.lastRequestAt > expiry);
        for (InvokerState invoker : state.invokers.values()) {
            backoff.checkSilence(invoker);
            invoker.instances.values().removeIf(state::isExpired);
            for (FunctionInstance instance : invoker.instances.values()) {
                considerForKeepAlive(instance.function, invoker);
            }
        }
        state.functions.values().forEach(this::renewKeepAlive);
    }

    /** Notes whether the invoker is the best-ranked one that holds the function. */
    private void considerForKeepAlive(FunctionState function, InvokerState invoker) {
        InvokerState known = function.keepAliveInvoker;
        boolean usable = invoker.ready && !backoff.isPaused(invoker);
        if (usable && (known == null || RendezvousHash.prefers(function, invoker, known))) {
            function.keepAliveInvoker = invoker;
        }
    }

    /** Renews the best-ranked instance of a function worth keeping before it expires. */
    private void renewKeepAlive(FunctionState function) {
        InvokerState invoker = function.keepAliveInvoker;
        function.keepAliveInvoker = null;
        FunctionInstance instance = invoker == null ? null : invoker.instances.get(function.id);
        if (instance == null || instance.preloadInFlight || instance.inFlight > 0) {
            return;
        }
        double keepAlive = state.keepAliveMicros();
        boolean busy = function.requestCount >= RENEWAL_REQUESTS;
        boolean recent = state.now - function.lastRequestAt < RENEWAL_IDLE * keepAlive;
        boolean due = state.now - instance.lastUsedAt > RENEWAL_AGE * keepAlive;
        if (busy && recent && due && preloads.preload(invoker, function, 1)) {
            instance.lastUsedAt = state.now;
        }
    }
}
