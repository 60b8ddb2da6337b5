package waytrestle.controller;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import waytrestle.responses.ClassifierEvent;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/**
 * The clients of the listed invokers, and which invokers are listed as ready.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class InvokerConnections {
    private final Transport transport;
    private final EventDispatcher dispatcher;
    private final ControllerListener listener;
    private final Map<String, InvokerClient> clients = new HashMap<>();
    private final Map<String, InvokerEndpoint> endpoints = new HashMap<>();
    private final Set<String> readyInvokers = new HashSet<>();

    /** Invokers that stopped being ready, of which the scheduler has not heard yet. */
    private final Set<String> leavingInvokers = new HashSet<>();

    private int updatesBeforeScheduler;

    InvokerConnections(
            Transport transport, EventDispatcher dispatcher, ControllerListener listener) {
        this.transport = transport;
        this.dispatcher = dispatcher;
        this.listener = listener;
    }

    /** The client of an invoker, or null where the invoker is not listed. */
    InvokerClient findClient(String invoker) {
        return clients.get(invoker);
    }

    boolean hasClient(String invoker) {
        return clients.containsKey(invoker);
    }

    boolean isReady(String invoker) {
        return readyInvokers.contains(invoker);
    }

    /** Whether the scheduler takes the invoker for ready: it may hear of an update later. */
    boolean isReadyToScheduler(String invoker) {
        return isReady(invoker) || leavingInvokers.contains(invoker);
    }

    /** The scheduler has heard of an update. */
    void schedulerHandledUpdate() {
        updatesBeforeScheduler = Math.max(0, updatesBeforeScheduler - 1);
        if (updatesBeforeScheduler == 0) {
            leavingInvokers.clear();
        }
    }

    int clientCount() {
        return clients.size();
    }

    int readyCount() {
        return readyInvokers.size();
    }

    int openConnections() {
        return clients.values().stream().mapToInt(InvokerClient::openConnections).sum();
    }

    /** The last entry of the endpoint list for an invoker, or null where it is not listed. */
    InvokerEndpoint endpoint(String invoker) {
        return endpoints.get(invoker);
    }

    /**
     * Whether an invoker may still get what was decided for it: not where it stopped being ready
     * since.
     *
     * @param wasReady whether the invoker was ready at the decision
     */
    boolean isStillEligible(String invoker, boolean wasReady) {
        return !wasReady || isReady(invoker);
    }

    /** Opens and closes clients as an endpoint list demands. */
    void update(EndpointsUpdated update) {
        if (update.snapshot()) {
            removeUnlisted(update);
        }
        for (InvokerEndpoint endpoint : update.entries()) {
            updateClient(endpoint);
        }
        updateReadiness(update);
    }

    /** What a snapshot leaves out is gone, its connections with it. */
    private void removeUnlisted(EndpointsUpdated snapshot) {
        Set<String> listed = new HashSet<>();
        snapshot.entries().forEach(endpoint -> listed.add(endpoint.id()));
        clients.entrySet().removeIf(entry -> closeUnlisted(entry, listed));
        endpoints.keySet().retainAll(listed);
    }

    private boolean closeUnlisted(Map.Entry<String, InvokerClient> entry, Set<String> listed) {
        if (listed.contains(entry.getKey())) {
            return false;
        }
        entry.getValue().close();
        listener.invokerRemoved(entry.getKey());
        return true;
    }

    private void updateClient(InvokerEndpoint endpoint) {
        if (endpoint.state() == EndpointState.GONE) {
            disconnect(endpoint.id());
            endpoints.remove(endpoint.id());
            listener.invokerRemoved(endpoint.id());
        } else {
            endpoints.put(endpoint.id(), endpoint);
            clients.computeIfAbsent(endpoint.id(), this::connect);
        }
        if (endpoint.state() != EndpointState.READY) {
            listener.logMessage(
                    "invoker.state_reported invoker="
                            + endpoint.id()
                            + " state="
                            + endpoint.state());
        }
    }

    private InvokerClient connect(String invoker) {
        return transport.openClient(
                invoker,
                () ->
                        dispatcher.dispatchToClassifier(
                                new ClassifierEvent.ConnectionsLost(invoker)));
    }

    /** Closes the client of an invoker; a later entry of the endpoint list opens a new one. */
    void disconnect(String invoker) {
        InvokerClient client = clients.remove(invoker);
        if (client != null) {
            client.close();
        }
    }

    private void updateReadiness(EndpointsUpdated update) {
        updatesBeforeScheduler++;
        Set<String> before = Set.copyOf(readyInvokers);
        if (update.snapshot()) {
            readyInvokers.clear();
        }
        for (InvokerEndpoint endpoint : update.entries()) {
            if (endpoint.state() == EndpointState.READY) {
                readyInvokers.add(endpoint.id());
            } else {
                readyInvokers.remove(endpoint.id());
            }
        }
        for (String invoker : before) {
            if (!isReady(invoker)) {
                leavingInvokers.add(invoker);
            }
        }
    }
}
