package waytrestle.controller;

import java.util.ArrayList;
import java.util.List;
import waytrestle.access.AccessLine;
import waytrestle.access.AccessLog;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.RequestOutcome;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerSettings;

/**
 * Writes one line to the access log for each response to a client. Attempts are listed for the
 * client that started the request; clients that joined the request later have none.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class RequestAccessLogger {
    /** Stands in place of a response for an attempt that is outstanding. */
    private static final String OUTSTANDING = "open";

    /** Stands for an id or a tenant that the request does not have. */
    private static final String NONE = "";

    private final Transport transport;
    private final WallClock wallClock;
    private final SchedulerSettings settings;
    private final AccessLog accessLog;

    RequestAccessLogger(
            Transport transport,
            WallClock wallClock,
            SchedulerSettings settings,
            AccessLog accessLog) {
        this.transport = transport;
        this.wallClock = wallClock;
        this.settings = settings;
        this.accessLog = accessLog;
    }

    /** Logs the response to a client, if the access log logs requests with the client's id. */
    void log(WaitingClient client, RequestOutcome outcome) {
        IncomingRequest incoming = client.incoming();
        String id = requestId(incoming);
        if (!accessLog.shouldLog(id)) {
            return;
        }
        accessLog.write(
                new AccessLine(
                        wallClock.millis(),
                        id,
                        tenantName(incoming),
                        settings.classes().get(incoming.requestClass()).name(),
                        incoming.function(),
                        attempts(client.startedRequest()),
                        CompletionKind.of(outcome).label(),
                        CompletionKind.reasonLabel(outcome),
                        transport.nowMicros() - client.acceptedAtMicros()));
    }

    private static String requestId(IncomingRequest incoming) {
        if (incoming.idempotencyKey() == null) {
            return NONE;
        }
        return incoming.idempotencyKey().key();
    }

    private String tenantName(IncomingRequest incoming) {
        if (incoming.tenant() <= SchedulerEvent.NO_TENANT) {
            return NONE;
        }
        return settings.tenants().get(incoming.tenant()).name();
    }

    private List<AccessLine.AttemptEntry> attempts(OpenRequest request) {
        if (request == null) {
            return List.of();
        }
        List<AccessLine.AttemptEntry> entries = new ArrayList<>(request.attempts().size());
        for (Attempt attempt : request.attempts()) {
            entries.add(attemptEntry(attempt));
        }
        return entries;
    }

    private AccessLine.AttemptEntry attemptEntry(Attempt attempt) {
        Attempt.Plan plan = attempt.plan();
        if (attempt.hasEnded()) {
            return new AccessLine.AttemptEntry(
                    attempt.invoker(),
                    attempt.exchangeResult().text(),
                    attempt.elapsedMicros(),
                    plan.estimateMicros());
        }
        return new AccessLine.AttemptEntry(
                attempt.invoker(),
                OUTSTANDING,
                transport.nowMicros() - plan.decidedAtMicros(),
                plan.estimateMicros());
    }
}
