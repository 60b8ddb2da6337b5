package waytrestle.controller;

import java.util.HashMap;
import java.util.Map;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.RequestHandler.PendingResponse;
import waytrestle.requests.RequestHandler.ResponseListener;
import waytrestle.requests.RequestOutcome;

/**
 * Holds the clients that wait for a response: accepts their requests, sets their deadline timers
 * and passes them their responses.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class WaitingClients {
    private final Transport transport;
    private final EventDispatcher dispatcher;
    private final ControllerListener listener;
    private final RequestAccessLogger accessLogger;
    private final ResponseGuard responseGuard;
    private final Map<Long, WaitingClient> clients = new HashMap<>();
    private long lastClientId;

    WaitingClients(
            Transport transport,
            EventDispatcher dispatcher,
            ControllerListener listener,
            RequestAccessLogger accessLogger,
            ResponseGuard responseGuard) {
        this.transport = transport;
        this.dispatcher = dispatcher;
        this.listener = listener;
        this.accessLogger = accessLogger;
        this.responseGuard = responseGuard;
    }

    int size() {
        return clients.size();
    }

    /**
     * Accepts a request of a client.
     *
     * @param client notified of the outcome, possibly before this method returns
     */
    PendingResponse accept(IncomingRequest incoming, ResponseListener client) {
        lastClientId++;
        long clientId = lastClientId;
        clients.put(clientId, new WaitingClient(client, incoming, transport.nowMicros()));
        dispatcher.dispatchToPendingRequests(
                new PendingRequests.RequestArrived(
                        clientId,
                        incoming.requestClass(),
                        incoming.tenant(),
                        incoming.retryFingerprint(),
                        incoming.idempotencyKey(),
                        incoming.timeLeftMicros()));
        return () -> disconnected(clientId, incoming);
    }

    private void disconnected(long clientId, IncomingRequest incoming) {
        if (remove(clientId) == null) {
            return;
        }
        listener.requestCompleted(
                incoming, CompletionKind.CLIENT_DISCONNECTED.label(), CompletionKind.NO_REASON, 0);
        dispatcher.dispatchToPendingRequests(new PendingRequests.ClientDisconnected(clientId));
    }

    /** Removes a client, which no longer waits, and returns it; null where it has left before. */
    private WaitingClient remove(long clientId) {
        WaitingClient client = clients.remove(clientId);
        if (client != null) {
            client.cancelDeadlineTimer();
        }
        return client;
    }

    /** Returns the client with the given id, or null where it no longer waits. */
    WaitingClient find(long clientId) {
        return clients.get(clientId);
    }

    /** Records the request that was started for a waiting client. */
    void recordStartedRequest(long clientId, OpenRequest request) {
        clients.put(clientId, clients.get(clientId).withStartedRequest(request));
    }

    /** Passes a client its response; does nothing where the client has disconnected. */
    void respond(PendingRequests.RespondToClient command) {
        WaitingClient client = remove(command.clientId());
        if (client == null) {
            return;
        }
        RequestOutcome outcome =
                responseGuard.permittedOutcome(command.outcome(), client.startedRequest());
        listener.requestCompleted(
                client.incoming(),
                CompletionKind.of(outcome).label(),
                CompletionKind.reasonLabel(outcome),
                transport.nowMicros() - client.acceptedAtMicros());
        accessLogger.log(client, outcome);
        client.listener().completed(outcome);
    }

    /**
     * Reports to the listener that a client's request has the idempotency key of an earlier one.
     */
    void reportRepeat(PendingRequests.ReportRepeat command) {
        WaitingClient client = clients.get(command.clientId());
        if (client != null) {
            listener.requestRepeated(client.incoming(), command.kind());
        }
    }

    /**
     * Schedules a notification of the pending requests for a client that waits until its deadline.
     */
    void setDeadlineTimer(PendingRequests.SetDeadlineTimer command) {
        long clientId = command.clientId();
        WaitingClient client = clients.get(clientId);
        if (client != null) {
            Transport.ScheduledTask timer =
                    transport.schedule(
                            command.afterMicros(),
                            () ->
                                    dispatcher.dispatchToPendingRequests(
                                            new PendingRequests.DeadlineExpired(clientId)));
            clients.put(clientId, client.withDeadlineTimer(timer));
        }
    }
}
