package waytrestle.scheduler;

import waytrestle.scheduler.SchedulerCommand.SetTimer;

/**
 * Periodic maintenance: removes unused state, looks for silent invokers, and preloads functions in
 * use again before their keep-alive expires.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class StateMaintenance {
    /** Time between two runs; short compared with keep-alives. */
    private static final long INTERVAL_MICROS = 250_000;

    /** Divisor of the poll interval: the quotient is the pause after a failed subscription. */
    private static final int POLL_DIVISOR = 8;

    /**
     * Keep-alives since its last use after which an instance is renewed; the rest allows retries.
     */
    private static final double RENEWAL_AGE_KEEP_ALIVES = 0.7;

    /** Keep-alives without a request after which a function's instance is no longer renewed. */
    private static final double RENEWAL_IDLE_KEEP_ALIVES = 2.5;

    /** Keep-alives without a request after which a function and its run times are forgotten. */
    private static final double EXPIRY_KEEP_ALIVES = 10;

    /** Requests for a function from which on its instance is renewed. */
    private static final int RENEWAL_REQUESTS = 2;

    private final SchedulerState state;
    private final InvokerBackoff backoff;
    private final PreloadPlanner preloads;
    private final EndpointTracker endpoints;

    StateMaintenance(
            SchedulerState state,
            InvokerBackoff backoff,
            PreloadPlanner preloads,
            EndpointTracker endpoints) {
        this.state = state;
        this.backoff = backoff;
        this.preloads = preloads;
        this.endpoints = endpoints;
    }

    /** Sets the timer of the first run, after a random delay so that controllers run apart. */
    void start() {
        long delay = 1 + state.random.nextLong(INTERVAL_MICROS);
        state.commands.add(new SetTimer(delay, new SchedulerTimer.Maintenance()));
    }

    /** Sets the timer that renews the subscription to the endpoint list after a failed update. */
    void scheduleResubscription() {
        long pause = state.settings.rules().pollIntervalMicros() / POLL_DIVISOR;
        long delay = Math.max(INTERVAL_MICROS, pause);
        state.commands.add(new SetTimer(delay, new SchedulerTimer.EndpointResubscription()));
    }

    /** Runs the maintenance once, and sets the timer of the next run. */
    void run() {
        state.commands.add(new SetTimer(INTERVAL_MICROS, new SchedulerTimer.Maintenance()));
        endpoints.removeUnused();
        double expiryMicros = EXPIRY_KEEP_ALIVES * state.keepAliveMicros();
        state.functions
                .values()
                .removeIf(function -> state.now - function.lastRequestAt > expiryMicros);
        for (InvokerState invoker : state.invokers.inOrder()) {
            backoff.checkSilence(invoker);
            if (invoker.instances.isEmpty()) {
                continue;
            }
            invoker.instances.values().removeIf(state::isExpired);
            for (FunctionInstance instance : invoker.instances.values()) {
                considerForKeepAlive(instance.function, invoker);
            }
        }
        state.functions.values().forEach(this::renewKeepAlive);
    }

    /**
     * Makes the invoker the function's keep-alive invoker if it is usable and ranks above the one
     * considered before.
     */
    private void considerForKeepAlive(FunctionState function, InvokerState invoker) {
        InvokerState previous = function.keepAliveInvoker;
        boolean usable = invoker.ready && !backoff.isPaused(invoker);
        if (usable && (previous == null || RendezvousHash.prefers(function, invoker, previous))) {
            function.keepAliveInvoker = invoker;
        }
    }

    /**
     * Preloads the function again at its keep-alive invoker, if the function is in use and the idle
     * instance there would expire soon.
     */
    private void renewKeepAlive(FunctionState function) {
        InvokerState invoker = function.keepAliveInvoker;
        function.keepAliveInvoker = null;
        FunctionInstance instance = invoker == null ? null : invoker.instances.get(function.id);
        if (instance == null || instance.preloadInFlight || instance.inFlight > 0) {
            return;
        }
        double keepAlive = state.keepAliveMicros();
        boolean worthKeeping = function.requestCount >= RENEWAL_REQUESTS;
        boolean recent = state.now - function.lastRequestAt < RENEWAL_IDLE_KEEP_ALIVES * keepAlive;
        boolean due = state.now - instance.lastUsedAt > RENEWAL_AGE_KEEP_ALIVES * keepAlive;
        if (worthKeeping && recent && due && preloads.preload(invoker, function, 1)) {
            instance.lastUsedAt = state.now;
        }
    }
}
