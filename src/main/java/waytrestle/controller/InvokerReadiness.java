package waytrestle.controller;

import waytrestle.controller.ControllerListener.WorkKind;
import waytrestle.scheduler.RequestScheduler;

/**
 * What is known of an invoker at the moment when new work is about to be sent there.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class InvokerReadiness {
    private final Transport transport;
    private final ControllerEnvironment environment;
    private final InvokerConnections connections;
    private final RequestScheduler scheduler;
    private final EndpointListExpiry listExpiry;
    private final ControllerListener listener;

    InvokerReadiness(
            Transport transport,
            ControllerEnvironment environment,
            InvokerConnections connections,
            RequestScheduler scheduler,
            EndpointListExpiry listExpiry,
            ControllerListener listener) {
        this.transport = transport;
        this.environment = environment;
        this.connections = connections;
        this.scheduler = scheduler;
        this.listExpiry = listExpiry;
        this.listener = listener;
    }

    /**
     * What is known of an invoker.
     *
     * @param stillReady whether it has not stopped being ready since the decision
     * @param recentlyConfirmed whether its readiness was confirmed lately enough
     */
    record Readiness(boolean stillReady, boolean recentlyConfirmed) {}

    /**
     * Looks first at what service discovery has sent. Guards against sends of a process that has
     * not run for a while, with the event that forbids them still unread.
     *
     * @param wasReady whether the invoker was ready at the decision
     */
    Readiness check(String invoker, boolean wasReady) {
        environment.pollEndpoints();
        return new Readiness(
                connections.isStillEligible(invoker, wasReady),
                scheduler.mayStartWork(invoker, transport.nowMicros()));
    }

    /** The work is sent: counted where the endpoint list alone would not allow it. */
    void recordSent(WorkKind kind) {
        if (listExpiry.isExpired(transport.nowMicros())) {
            listener.sentOnExpiredList(kind);
        }
    }
}
