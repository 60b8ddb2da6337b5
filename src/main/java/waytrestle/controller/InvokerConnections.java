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
 * Holds the client of each listed invoker, and which invokers are listed as ready.
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

    /**
     * Invokers that stopped being ready by an endpoint list that the scheduler has yet to handle.
     */
    private final Set<String> newlyUnready = new HashSet<>();

    /** Number of endpoint lists that are applied here but not yet handled by the scheduler. */
    private int updatesAheadOfScheduler;

    InvokerConnections(
            Transport transport, EventDispatcher dispatcher, ControllerListener listener) {
        this.transport = transport;
        this.dispatcher = dispatcher;
        this.listener = listener;
    }

    /**
     * Returns the client of an invoker, or null where the invoker is not listed or has been
     * disconnected since it was last listed.
     */
    InvokerClient findClient(String invoker) {
        return clients.get(invoker);
    }

    boolean hasClient(String invoker) {
        return clients.containsKey(invoker);
    }

    boolean isReady(String invoker) {
        return readyInvokers.contains(invoker);
    }

    /**
     * Returns whether the scheduler takes the invoker for ready. The scheduler may handle an
     * endpoint list later than this class does.
     */
    boolean isReadyToScheduler(String invoker) {
        return isReady(invoker) || newlyUnready.contains(invoker);
    }

    /** Records that the scheduler has handled one more endpoint list. */
    void schedulerHandledUpdate() {
        updatesAheadOfScheduler = Math.max(0, updatesAheadOfScheduler - 1);
        if (updatesAheadOfScheduler == 0) {
            newlyUnready.clear();
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

    /**
     * Returns the latest entry of an invoker in the endpoint list, or null where it is not listed.
     */
    InvokerEndpoint endpoint(String invoker) {
        return endpoints.get(invoker);
    }

    /**
     * Returns whether an invoker may still get work that the scheduler chose it for, which is false
     * if it has stopped being ready since the decision.
     *
     * @param wasReady whether the scheduler took the invoker for ready at the decision
     */
    boolean isStillEligible(String invoker, boolean wasReady) {
        return !wasReady || isReady(invoker);
    }

    /** Applies an endpoint list: opens and closes clients and records which invokers are ready. */
    void update(EndpointsUpdated update) {
        if (update.snapshot()) {
            removeUnlisted(update);
        }
        for (InvokerEndpoint endpoint : update.entries()) {
            updateClient(endpoint);
        }
        updateReadiness(update);
    }

    /** Closes the clients of all invokers that a snapshot leaves out: these invokers are gone. */
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
        updatesAheadOfScheduler++;
        Set<String> noLongerListedReady = new HashSet<>();
        if (update.snapshot()) {
            noLongerListedReady.addAll(readyInvokers);
            readyInvokers.clear();
        }
        for (InvokerEndpoint endpoint : update.entries()) {
            if (endpoint.state() == EndpointState.READY) {
                readyInvokers.add(endpoint.id());
            } else if (readyInvokers.remove(endpoint.id())) {
                noLongerListedReady.add(endpoint.id());
            }
        }
        noLongerListedReady.removeAll(readyInvokers);
        newlyUnready.addAll(noLongerListedReady);
    }
}
