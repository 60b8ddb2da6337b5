package waytrestle.scheduler;

import waytrestle.scheduler.SchedulerSettings.Rules;
import waytrestle.stats.DecayingAverage;
import waytrestle.stats.DecayingSum;

/**
 * Limits what a just started invoker is sent. Guards it against all controllers together, each
 * keeping its share alone: own sends within the stated window stay under the stated multiple of
 * what this controller sees an invoker of the kind serve, times the share warmed up so far. Sends
 * count by their size, since functions differ. A share below one send opens only some windows, by
 * the seed: hundreds of controllers then meet the budget on average. It can hurt: fresh invokers
 * fill slowly.
 */
final class SlowStartBudget {
    private static final double MARGIN = 0.7; // of the budget: chance and others need the rest
    private static final double DEVIATIONS = 1.3; // of all controllers' sends: few vary more
    private static final double SMALL_BUDGET_DISCOUNT = 0.3; // of the margin, below one send

    private final SchedulerState state;
    private final FinishTimeEstimate estimate;
    private final Rules rules;
    private final long windowPhase; // micros by which this controller's windows are shifted

    SlowStartBudget(SchedulerState state, FinishTimeEstimate estimate) {
        this.state = state;
        this.estimate = estimate;
        this.rules = state.settings.rules();
        this.windowPhase = state.random.nextLong(1 + rules.overloadWindowMicros());
    }

    private boolean isWarming(InvokerState invoker) {
        return invoker.slowStartSince > 0
                && state.now - invoker.slowStartSince < rules.slowStartMicros();
    }

    /** Counts a send to an invoker that is warming up. */
    void recordSend(FunctionState function, InvokerState invoker) {
        if (isWarming(invoker)) {
            double size = relativeSize(function);
            invoker.slowStartSends.add(new InvokerState.SlowStartSend(state.now, size));
            invoker.slowStartSizeSum += size;
        }
    }

    /** Whether one more request of the function may be sent to the invoker now. */
    boolean admits(InvokerState invoker, FunctionState function) {
        if (!isWarming(invoker)) {
            return true;
        }
        invoker.dropSlowStartSends(state.now - rules.overloadWindowMicros());
        double size = relativeSize(function);
        double budget = rules.overloadMultiple() * warmShare(invoker) * usualSends(invoker) / size;
        int controllers = state.settings.controllerCount();
        double deviation = Math.sqrt(Math.max(1, budget * controllers));
        double discount = SMALL_BUDGET_DISCOUNT * Math.max(0, 1 - budget);
        double margin = Math.min(MARGIN, 1 - DEVIATIONS / deviation) - discount;
        double allowed = Math.max(1.0 / controllers, margin * budget) + windowDraw(invoker);
        return invoker.slowStartSizeSum / size + 1 <= allowed;
    }

    /** Requests that one of a slow function counts for; a quick one counts whole. */
    private double relativeSize(FunctionState function) {
        double average = state.averageRunMicros;
        return average == 0 ? 1 : Math.max(1, estimate.runMicros(function) / average);
    }

    /** The share of its capacity that the settings allow the invoker by now. */
    private double warmShare(InvokerState invoker) {
        long age = Math.max(0, state.now - invoker.slowStartSince);
        double initial = rules.slowStartInitialShare();
        return initial + (1 - initial) * (age / (double) rules.slowStartMicros());
    }

    /** Responses that this controller gets from one invoker of the kind within the window. */
    private double usualSends(InvokerState invoker) {
        DecayingSum served = state.servedRequestsByKind.get(invoker.endpoint.kind());
        if (served == null) {
            return 0;
        }
        DecayingAverage ready = state.readyInvokersByKind.get(invoker.endpoint.kind());
        double rate = served.value(state.now) / FinishTimeEstimate.RATE_DECAY_MICROS;
        double alike = ready == null ? 1 : Math.max(1, ready.maxOfCountAndAverage(state.now)); // more during a roll
        return rate * rules.overloadWindowMicros() / alike;
    }

    /** One random number per invoker and window, which rounds the share of this controller. */
    private double windowDraw(InvokerState invoker) {
        long window = (state.now + windowPhase) / Math.max(1, rules.overloadWindowMicros());
        if (invoker.budgetRoundingWindow != window) {
            invoker.budgetRoundingWindow = window;
            invoker.budgetRounding = state.random.nextDouble();
        }
        return invoker.budgetRounding;
    }
}
