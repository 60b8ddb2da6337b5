package waytrestle.scheduler;

import waytrestle.scheduler.SchedulerSettings.Rules;
import waytrestle.stats.DecayingAverage;
import waytrestle.stats.DecayingSum;

/**
 * Limits the requests that an invoker is sent during its slow start, so that all controllers
 * together do not overload it although each knows only its own requests. The requests of this
 * controller within the overload window stay below this product: the overload multiple of the
 * settings, times the requests that an invoker of the kind usually serves for this controller
 * within the window, times the share of its capacity that the invoker may be sent so far.
 *
 * <p>A request counts by the run time of its function. A budget below one request is rounded at
 * random for each window: hundreds of controllers then keep the budget on average. Drawback:
 * invokers that have just started fill slowly.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class SlowStartBudget {
    /** Share of the budget that is used; the rest is left for chance and other controllers. */
    private static final double MARGIN = 0.7;

    /** Standard deviations of all controllers' sends that the margin leaves room for. */
    private static final double DEVIATIONS = 1.3;

    /** Discount on the margin as the budget falls from one request to 0. */
    private static final double SMALL_BUDGET_DISCOUNT = 0.3;

    private final SchedulerState state;
    private final FinishTimeEstimate estimate;
    private final Rules rules;

    /** Random time, in microseconds, by which this controller's windows are shifted. */
    private final long windowPhase;

    SlowStartBudget(SchedulerState state, FinishTimeEstimate estimate) {
        this.state = state;
        this.estimate = estimate;
        this.rules = state.settings.rules();
        this.windowPhase = state.random.nextLong(1 + rules.overloadWindowMicros());
    }

    private boolean isInSlowStart(InvokerState invoker) {
        return invoker.slowStartSince > 0
                && state.now - invoker.slowStartSince < rules.slowStartMicros();
    }

    /** Counts an attempt if the invoker is in its slow start. */
    void recordSend(FunctionState function, InvokerState invoker) {
        if (isInSlowStart(invoker)) {
            double size = relativeSize(function);
            invoker.slowStartSends.add(new InvokerState.SlowStartSend(state.now, size));
            invoker.slowStartSizeSum += size;
        }
    }

    /** Returns whether one more request for the function may be sent to the invoker now. */
    boolean admits(InvokerState invoker, FunctionState function) {
        return !isInSlowStart(invoker) || isWithinBudget(invoker, function);
    }

    private boolean isWithinBudget(InvokerState invoker, FunctionState function) {
        invoker.dropSlowStartSends(state.now - rules.overloadWindowMicros());
        double size = relativeSize(function);
        double budget =
                rules.overloadMultiple() * slowStartShare(invoker) * usualSends(invoker) / size;
        int controllers = state.settings.controllerCount();
        double deviation = Math.sqrt(Math.max(1, budget * controllers));
        double discount = SMALL_BUDGET_DISCOUNT * Math.max(0, 1 - budget);
        double margin = Math.min(MARGIN, 1 - DEVIATIONS / deviation) - discount;
        double allowed = Math.max(1.0 / controllers, margin * budget) + budgetRounding(invoker);
        return invoker.slowStartSizeSum / size + 1 <= allowed;
    }

    /**
     * Returns the number of average requests that a request for the function counts for; at least
     * 1.
     */
    private double relativeSize(FunctionState function) {
        double average = state.averageRunMicros;
        return average == 0 ? 1 : Math.max(1, estimate.runMicros(function) / average);
    }

    /** Returns the share of its capacity that the invoker may be sent so far in its slow start. */
    private double slowStartShare(InvokerState invoker) {
        long age = Math.max(0, state.now - invoker.slowStartSince);
        double initial = rules.slowStartInitialShare();
        return initial + (1 - initial) * (age / (double) rules.slowStartMicros());
    }

    /**
     * Returns the number of requests that one invoker of the kind usually serves for this
     * controller within the overload window.
     */
    private double usualSends(InvokerState invoker) {
        DecayingSum served = state.servedRequestsByKind.get(invoker.endpoint.kind());
        if (served == null) {
            return 0;
        }
        DecayingAverage ready = state.readyInvokersByKind.get(invoker.endpoint.kind());
        double rate = served.value(state.now) / FinishTimeEstimate.RATE_DECAY_MICROS;
        double readyInvokers =
                ready == null
                        ? 1
                        : Math.max(
                                1,
                                ready.maxOfCountAndAverage(
                                        state.now)); // average exceeds the count during a rolling
        // restart
        return rate * rules.overloadWindowMicros() / readyInvokers;
    }

    /** Returns a random number from 0 to 1, one per invoker and window, that rounds its budget. */
    private double budgetRounding(InvokerState invoker) {
        long window = (state.now + windowPhase) / Math.max(1, rules.overloadWindowMicros());
        if (invoker.budgetRoundingWindow != window) {
            invoker.budgetRoundingWindow = window;
            invoker.budgetRounding = state.random.nextDouble();
        }
        return invoker.budgetRounding;
    }
}
