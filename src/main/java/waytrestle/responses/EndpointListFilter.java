package waytrestle.responses;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import waytrestle.responses.ClassifierCommand.Sink;
import waytrestle.responses.ClassifierCommand.UpdateEndpoints;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/**
 * Turns the endpoint list of service discovery into the list as the scheduler is to see it: ejected
 * invokers as draining, and restarts known before service discovery reports them.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class EndpointListFilter {
    /** Broken requests after which the scheduler backs off from the invoker by itself. */
    private static final int LOSSES_SEEN_BY_SCHEDULER = 2;

    private final InvokerTable invokers;
    private final OutlierEjection ejection;
    private final Consumer<String> onInvokerRemoved;

    EndpointListFilter(
            InvokerTable invokers, OutlierEjection ejection, Consumer<String> onInvokerRemoved) {
        this.invokers = invokers;
        this.ejection = ejection;
        this.onInvokerRemoved = onInvokerRemoved;
    }

    /** Takes in a list of service discovery and passes it on. */
    void update(EndpointsUpdated list, long nowMicros, Sink commands) {
        if (list.snapshot()) {
            invokers.forEach((id, invoker) -> invoker.setEndpoint(null));
        }
        List<InvokerEndpoint> visible = new ArrayList<>(list.entries().size());
        for (InvokerEndpoint listed : list.entries()) {
            InvokerRecord invoker = invokers.findOrAdd(listed.id());
            if (isRestart(invoker, listed) && invoker.health().isEjected()) {
                // The new process has done nothing wrong yet.
                ejection.readmit(listed.id(), invoker, nowMicros, commands);
            }
            invoker.setEndpoint(listed.state() == EndpointState.GONE ? null : listed);
            visible.add(invoker.endpointForScheduler(listed));
        }
        invokers.removeGone(onInvokerRemoved);
        commands.add(
                new UpdateEndpoints(new EndpointsUpdated(list.snapshot(), list.cached(), visible)));
    }

    private static boolean isRestart(InvokerRecord invoker, InvokerEndpoint listed) {
        InvokerEndpoint known = invoker.endpoint();
        return known != null && listed.startedAtMicros() > known.startedAtMicros();
    }

    /**
     * An invoker closed all cached connections.
     *
     * <p>Guards against loading a process that restarted before service discovery said so: its
     * connections showed the end of the earlier process, and from now on it counts as just started.
     * It can hurt where a server closes connections that are in use.
     */
    void handleConnectionsLost(String id, long nowMicros, Sink commands) {
        InvokerRecord invoker = invokers.find(id);
        if (invoker == null || !invoker.isReady()) {
            return;
        }
        int losses = invoker.attemptsInFlight() + invoker.recentConnectionLosses(nowMicros);
        if (losses >= LOSSES_SEEN_BY_SCHEDULER) {
            return;
        }
        invoker.markRestarted(nowMicros);
        InvokerEndpoint visible = invoker.endpointForScheduler(invoker.endpoint());
        commands.add(new UpdateEndpoints(new EndpointsUpdated(false, false, List.of(visible))));
    }
}
