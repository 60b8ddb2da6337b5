package waytrestle.scheduler;

import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerEvent.PreloadCompleted;
import waytrestle.scheduler.SchedulerSettings.Preloading;

/** Requests loads ahead of attempts, within their rate limit. */
final class PreloadPlanner {
    private static final int MAX_PRELOADS_PER_INVOKER = 2; // in flight: the design's small bound

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

    /** Requests a load, unless one is in flight; false where none may be requested now. */
    boolean preload(InvokerState invoker, FunctionState function, int instances) {
        FunctionInstance instance = invoker.instances.get(function.id);
        if (instance != null && instance.preloadInFlight) {
            return true;
        }
        boolean accepts = invoker.ready && state.settings.preloading().acceptsPreloads();
        boolean busy = invoker.preloadsInFlight >= MAX_PRELOADS_PER_INVOKER;
        if (!accepts || busy || !isWithinRateLimit()) {
            return false;
        }
        if (!leases.mayStartWork(invoker)) {
            leases.deferPreload(invoker, function, instances);
            return false;
        }
        invoker.startPreload(function, state.now);
        state.preloadTimes.add(state.now);
        state.commands.add(new PreloadFunction(invoker.id, function.id, instances));
        return true;
    }

    private boolean isWithinRateLimit() {
        Preloading preloading = state.settings.preloading();
        long period = preloading.preloadPeriodMicros();
        if (period <= 0) {
            state.preloadTimes.clear();
            return true;
        }
        state.dropOlderThan(state.preloadTimes, period);
        state.dropOlderThan(state.requestTimes, period);
        double earned = preloading.preloadsPerRequest() * state.requestTimes.size();
        return state.preloadTimes.size() + 1 <= preloading.freePreloads() + earned;
    }

    /** A preload request ended. */
    void preloadCompleted(PreloadCompleted event) {
        FunctionState function = state.functions.get(event.function());
        InvokerState invoker = state.invokers.get(event.invoker());
        if (function == null || invoker == null) {
            return;
        }
        if (event.code() == ResponseCode.CONNECT_FAILED) {
            backoff.pause(invoker, true);
        } else if (event.code() == ResponseCode.RESET) {
            backoff.recordReset(invoker);
        }
        FunctionInstance instance = invoker.instances.get(function.id);
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
     * Guards against preloads whose connection broke: one that was received takes effect all the
     * same, and what was loaded before still is, so it is requested again where it was; at a
     * process that has ended that fails, and where connections break in a row the pause ends it.
     */
    private void retryAfterReset(
            InvokerState invoker, FunctionState function, FunctionInstance instance) {
        boolean retried = !backoff.isPaused(invoker) && preload(invoker, function, instance.count);
        if (!retried && instance.inFlight == 0 && instance.isLoading()) {
            invoker.removeInstance(instance);
        }
    }
}
