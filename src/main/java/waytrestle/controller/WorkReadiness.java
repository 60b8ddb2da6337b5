package waytrestle.controller;

import waytrestle.controller.ControllerListener.WorkKind;
import waytrestle.scheduler.RequestScheduler;

/**
 * What is known of an invoker at the moment when new work is about to be sent there.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class WorkReadiness {
    private final Transport transport;
    private final ControllerEnvironment environment;
    private final InvokerConnections connections;
    private final RequestScheduler scheduler;
    private final ListExpiry listExpiry;
    private final ControllerListener listener;

    WorkReadiness(
            Transport transport,
            ControllerEnvironment environment,
            InvokerConnections connections,
            RequestScheduler scheduler,
            ListExpiry listExpiry,
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
     * @param ready whether it has not stopped being ready since the decision
     * @param known whether its readiness was confirmed lately enough
     */
    record Readiness(boolean ready, boolean known) {}

    /**
     * Looks first at what service discovery has sent. Guards against sends of a process that has
     * not run for a while, with the event that forbids them still unread.
     *
     * @param wasReady whether the invoker was ready at the decision
     */
    Readiness of(String invoker, boolean wasReady) {
        environment.pollEndpoints();
        return new Readiness(
                connections.mayStillGet(invoker, wasReady),
                scheduler.mayStartWork(invoker, transport.now()));
    }

    /** The work is sent: counted where the endpoint list alone would not allow it. */
    void sent(WorkKind kind) {
        if (listExpiry.isExpired(transport.now())) {
            listener.sentOnExpiredList(kind);
        }
    }
}
