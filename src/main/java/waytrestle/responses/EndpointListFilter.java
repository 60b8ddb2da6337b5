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
 * Converts the endpoint lists of service discovery into the lists for the scheduler: ejected
 * invokers are draining in them, and a restart inferred from closed connections shows in them
 * before service discovery reports it.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class EndpointListFilter {
    /**
     * Number of attempts affected by a restart from which the scheduler backs off from the invoker
     * by itself.
     */
    private static final int MIN_AFFECTED_ATTEMPTS_FOR_BACKOFF = 2;

    private final InvokerTable invokers;
    private final OutlierEjection ejection;
    private final Consumer<String> onInvokerRemoved;

    EndpointListFilter(
            InvokerTable invokers, OutlierEjection ejection, Consumer<String> onInvokerRemoved) {
        this.invokers = invokers;
        this.ejection = ejection;
        this.onInvokerRemoved = onInvokerRemoved;
    }

    /**
     * Applies an endpoint list of service discovery to the invoker records and passes the converted
     * list on to the scheduler.
     */
    void update(EndpointsUpdated list, long nowMicros, Sink commands) {
        if (list.snapshot()) {
            invokers.forEach((id, invoker) -> invoker.setEndpoint(null));
        }
        List<InvokerEndpoint> visible = new ArrayList<>(list.entries().size());
        for (InvokerEndpoint listed : list.entries()) {
            InvokerRecord invoker = invokers.findOrAdd(listed.id());
            if (isRestart(invoker, listed) && invoker.health().isEjected()) {
                // The failures that led to the ejection were those of the earlier process.
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
     * Treats an invoker that closed all cached connections to it as restarted now, unless so many
     * attempts are affected that the scheduler backs off from the invoker by itself.
     *
     * <p>Guards against overloading a newly started process before service discovery reports the
     * restart: the closed connections show that the earlier process ended. The drawback: a server
     * that closes connections while they are in use counts as restarted too.
     */
    void handleConnectionsLost(String id, long nowMicros, Sink commands) {
        InvokerRecord invoker = invokers.find(id);
        if (invoker == null || !invoker.isReady()) {
            return;
        }
        int affectedAttempts =
                invoker.attemptsInFlight() + invoker.recentConnectionLosses(nowMicros);
        if (affectedAttempts >= MIN_AFFECTED_ATTEMPTS_FOR_BACKOFF) {
            return;
        }
        invoker.markRestarted(nowMicros);
        InvokerEndpoint visible = invoker.endpointForScheduler(invoker.endpoint());
        commands.add(new UpdateEndpoints(new EndpointsUpdated(false, false, List.of(visible))));
    }
}
