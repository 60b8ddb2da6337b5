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
 * Ejects outliers for a time and readmits them afterwards; an ejected invoker is draining in the
 * endpoint lists for the scheduler. Only a bounded share of the ready invokers is ejected at a
 * time, and never the last one.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class OutlierEjection {
    /** Ready invokers not ejected that are needed before one of them may be ejected. */
    private static final int MIN_INVOKERS_BEFORE_EJECTION = 2;

    private final InvokerTable invokers;
    private final double maxEjectedShare;

    OutlierEjection(InvokerTable invokers, double maxEjectedShare) {
        this.invokers = invokers;
        this.maxEjectedShare = maxEjectedShare;
    }

    /** Ejects an invoker if it is an outlier and ready, and if the fleet can spare it. */
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

    /**
     * Readmits all invokers whose ejection has ended, and shows the listed ones to the scheduler in
     * their listed state.
     */
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

    /** Readmits one invoker; the caller updates the scheduler's endpoint list. */
    void readmit(String id, InvokerRecord invoker, long nowMicros, Sink commands) {
        invoker.health().readmit(nowMicros);
        commands.add(new ReportReadmission(id));
    }

    private static UpdateEndpoints updateOf(InvokerEndpoint endpoint) {
        return new UpdateEndpoints(new EndpointsUpdated(false, false, List.of(endpoint)));
    }
}
