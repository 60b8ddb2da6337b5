package waytrestle.controller;

import waytrestle.controller.ControllerListener.WorkKind;
import waytrestle.scheduler.RequestScheduler;

/**
 * Checks, right before new work is sent to an invoker, whether the invoker may still get it.
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
     * The readiness of an invoker right before a send.
     *
     * @param stillReady whether the invoker has not stopped being ready since the scheduler chose
     *     it
     * @param recentlyConfirmed whether the invoker's readiness was confirmed recently enough for
     *     the scheduler to begin new work there
     */
    record Readiness(boolean stillReady, boolean recentlyConfirmed) {}

    /**
     * Returns the readiness of an invoker, after reading what service discovery has sent so far.
     * Reading first guards against work that a process sends after a stop, while the endpoint
     * update that forbids it is still unread.
     *
     * @param wasReady whether the scheduler took the invoker for ready when it chose it
     */
    Readiness check(String invoker, boolean wasReady) {
        environment.pollEndpoints();
        return new Readiness(
                connections.isStillEligible(invoker, wasReady),
                scheduler.mayStartWork(invoker, transport.nowMicros()));
    }

    /** Records that new work is sent; reports it if the endpoint list has expired. */
    void recordSent(WorkKind kind) {
        if (listExpiry.isExpired(transport.nowMicros())) {
            listener.sentOnExpiredList(kind);
        }
    }
}
