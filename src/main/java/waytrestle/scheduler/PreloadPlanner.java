package waytrestle.scheduler;

import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerEvent.PreloadCompleted;
import waytrestle.scheduler.SchedulerSettings.Preloading;

/**
 * Sends preload requests, within the rate limit of the settings, and learns from their responses.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class PreloadPlanner {
    /** Preloads in flight to one invoker; the design sets a small bound. */
    private static final int MAX_PRELOADS_PER_INVOKER = 2;

    private final SchedulerState state;
    private final InvokerBackoff backoff;
    private final ReadinessLeases leases;
    private final ResponseLearner learner;

    PreloadPlanner(
            SchedulerState state,
            InvokerBackoff backoff,
            ReadinessLeases leases,
            ResponseLearner learner) {
        this.state = state;
        this.backoff = backoff;
        this.leases = leases;
        this.learner = learner;
    }

    /**
     * Sends a preload request for the function to the invoker, unless one is in flight. Where the
     * invoker's readiness must be checked first, the preload is deferred until after the check.
     *
     * @param instances least number of loaded instances to ask for
     * @return whether a preload request is in flight
     */
    boolean preload(InvokerState invoker, FunctionState function, int instances) {
        FunctionInstance instance = invoker.instances.get(function.id);
        if (instance != null && instance.preloadInFlight) {
            return true;
        }
        boolean accepts = invoker.ready && state.settings.preloading().acceptsPreloads();
        boolean atMaxPreloads = invoker.preloadsInFlight >= MAX_PRELOADS_PER_INVOKER;
        if (!accepts || atMaxPreloads || !isWithinRateLimit()) {
            return false;
        }
        if (!leases.mayStartWork(invoker)) {
            leases.deferPreload(invoker, function, instances);
            return false;
        }
        invoker.startPreload(function, state.now);
        state.preloadsInPeriod.add(state.now);
        state.commands.add(new PreloadFunction(invoker.id, function.id, instances));
        return true;
    }

    private boolean isWithinRateLimit() {
        Preloading preloading = state.settings.preloading();
        if (preloading.preloadPeriodMicros() <= 0) {
            return true;
        }
        double earnedPreloads =
                preloading.preloadsPerRequest() * state.requestsInPeriod.count(state.now);
        long preloads = state.preloadsInPeriod.count(state.now) + 1;
        return preloads <= preloading.freePreloads() + earnedPreloads;
    }

    /** Records the end of a preload request; ignores unknown functions and invokers. */
    void preloadCompleted(PreloadCompleted event) {
        InvokerState invoker = state.invokers.find(event.invoker());
        FunctionInstance instance =
                invoker == null ? null : invoker.instances.get(event.function());
        // A function may be forgotten while a preload of it is deferred or in flight.
        FunctionState function =
                instance == null ? state.functions.get(event.function()) : instance.function;
        if (function == null || invoker == null) {
            return;
        }
        if (event.code() == ResponseCode.CONNECT_FAILED) {
            backoff.pause(invoker, true);
        } else if (event.code() == ResponseCode.RESET) {
            backoff.recordReset(invoker);
        }
        boolean loaded = event.instances() > 0;
        boolean finishedLoad = loaded && event.code() == ResponseCode.OK;
        if (instance != null && instance.preloadInFlight) {
            invoker.endPreload(instance);
            if (finishedLoad && instance.isLoading()) {
                learner.learnLoadTime(event.elapsedMicros());
            }
        }
        if (loaded) {
            long usedAt = state.now - state.keepAliveMicros() / 2;
            invoker.recordLoaded(function, event.instances(), usedAt, state.now);
        } else if (instance != null && event.code() == ResponseCode.RESET) {
            retryAfterReset(invoker, function, instance);
        } else if (instance != null && instance.inFlight == 0 && event.code() != ResponseCode.OK) {
            invoker.removeInstance(instance);
        }
    }

    /**
     * Sends a preload again to the same invoker after its connection was reset: a preload that was
     * received takes effect in spite of the reset, and functions loaded before stay loaded. The
     * retries end when the connection fails because the process has ended, or when resets in a row
     * pause the invoker.
     */
    private void retryAfterReset(
            InvokerState invoker, FunctionState function, FunctionInstance instance) {
        boolean retried = !backoff.isPaused(invoker) && preload(invoker, function, instance.count);
        if (!retried && instance.inFlight == 0 && instance.isLoading()) {
            invoker.removeInstance(instance);
        }
    }
}
