package waytrestle.responses;

import java.util.List;
import waytrestle.responses.ClassifierCommand.ReportEjection;
import waytrestle.responses.ClassifierCommand.ReportReadmission;
import waytrestle.responses.ClassifierCommand.SetTimer;
import waytrestle.responses.ClassifierCommand.Sink;
import waytrestle.responses.ClassifierCommand.UpdateEndpoints;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/**
 * Ejects outliers for a while and readmits them: the scheduler sees an ejected invoker as draining.
 * A bounded share of the fleet is ejected at a time, and never its last invoker.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class OutlierEjection {
    /** Invokers that must be serving before one of them may be ejected. */
    private static final int MIN_INVOKERS_BEFORE_EJECTION = 2;

    private final InvokerTable invokers;
    private final double maxEjectedShare;

    OutlierEjection(InvokerTable invokers, double maxEjectedShare) {
        this.invokers = invokers;
        this.maxEjectedShare = maxEjectedShare;
    }

    /** Ejects an invoker that is an outlier by now, if the fleet can spare it. */
    void ejectIfOutlier(String id, InvokerRecord invoker, long nowMicros, Sink commands) {
        OutlierDetector health = invoker.health();
        if (health.isEjected() || !health.isOutlier(nowMicros)) {
            return;
        }
        if (!invoker.isReady() || !fleetCanSpareOne()) {
            return;
        }
        long durationMicros = health.eject(nowMicros);
        commands.add(new ReportEjection(id, durationMicros));
        commands.add(updateOf(invoker.endpointForScheduler(invoker.endpoint())));
        commands.add(new SetTimer(durationMicros));
    }

    private boolean fleetCanSpareOne() {
        int ready = invokers.readyCount();
        long ejected = invokers.ejectedCount();
        int maxEjected = Math.max(1, (int) (maxEjectedShare * ready));
        return ejected < maxEjected && ready - ejected >= MIN_INVOKERS_BEFORE_EJECTION;
    }

    /** Readmits all invokers whose ejection is over. */
    void readmitExpired(long nowMicros, Sink commands) {
        invokers.forEach(
                (id, invoker) -> {
                    OutlierDetector health = invoker.health();
                    if (health.isEjected() && nowMicros >= health.ejectedUntilMicros()) {
                        readmit(id, invoker, nowMicros, commands);
                        if (invoker.endpoint() != null) {
                            commands.add(updateOf(invoker.endpoint()));
                        }
                    }
                });
    }

    /** Readmits one invoker; the scheduler's list is left to the caller. */
    void readmit(String id, InvokerRecord invoker, long nowMicros, Sink commands) {
        invoker.health().readmit(nowMicros);
        commands.add(new ReportReadmission(id));
    }

    private static UpdateEndpoints updateOf(InvokerEndpoint endpoint) {
        return new UpdateEndpoints(new EndpointsUpdated(false, false, List.of(endpoint)));
    }
}
