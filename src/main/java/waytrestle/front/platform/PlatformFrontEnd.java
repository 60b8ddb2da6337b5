package waytrestle.front.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import waytrestle.front.FrontEnd;
import waytrestle.http.HttpError;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;
import waytrestle.requests.RequestHandler;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.RequestHandler.PendingResponse;
import waytrestle.requests.RequestOutcome;
import waytrestle.scheduler.SchedulerSettings.Preloading;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * Takes the platform's requests, hands them to the core and answers with their outcome; answers
 * readiness checks.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class PlatformFrontEnd implements FrontEnd {
    private static final String READINESS_PATH = "/check";
    private static final String READINESS_METHOD = "GET";

    /** Metric label of messages that could not be read as HTTP. */
    private static final String UNREADABLE_MESSAGE_LABEL = "unread";

    private static final int CONTINUE_READING = 0;
    private static final int NO_TENANT = -1;
    private static final int NO_JSON_PART = -1;
    private static final long MICROS_PER_MILLI = 1_000;

    private final List<RequestClass> classes;
    private final PlatformRequestReader reader;
    private final RequestHandler handler;
    private final Map<String, Long> rejectedMessages = new HashMap<>();
    private int requestsInFlight;
    private boolean ready;
    private boolean shuttingDown;

    /** Requests of the given classes are handed to the handler. */
    public PlatformFrontEnd(
            List<RequestClass> classes, Preloading preloading, RequestHandler handler) {
        this.classes = classes;
        this.reader = new PlatformRequestReader(classes, preloading);
        this.handler = handler;
    }

    /**
     * From now on the readiness check succeeds. Requests that come before that are accepted all the
     * same, and wait.
     */
    public void markReady() {
        ready = true;
    }

    /** From now on the readiness check fails, so that clients go elsewhere. */
    public void startShutdown() {
        shuttingDown = true;
    }

    /** Number of clients that wait for the response to a request. */
    public int requestsInFlight() {
        return requestsInFlight;
    }

    @Override
    public boolean handlesPath(String path) {
        return PlatformRequestReader.isRequestPath(path) || path.equals(READINESS_PATH);
    }

    @Override
    public Map<String, Long> rejectedMessagesByReason() {
        return rejectedMessages;
    }

    @Override
    public int checkHead(HttpMessage head) {
        if (!PlatformRequestReader.isRequestPath(head.path())) {
            return PlatformRequestReader.NOT_FOUND;
        }
        return head.method().equals(PlatformRequestReader.REQUEST_METHOD)
                ? CONTINUE_READING
                : PlatformRequestReader.METHOD_NOT_ALLOWED;
    }

    @Override
    public HttpServer.Refusal refusal(String path, HttpError error) {
        countRejected(UNREADABLE_MESSAGE_LABEL);
        return new HttpServer.Refusal(
                PlatformResponseWriter.CONTENT_TYPE,
                PlatformResponseWriter.body(error.getMessage()));
    }

    @Override
    public void handle(HttpServer.Exchange exchange) {
        HttpMessage message = exchange.message();
        if (message.path().equals(READINESS_PATH) && message.method().equals(READINESS_METHOD)) {
            PlatformResponseWriter.writeReadiness(exchange, readiness());
            return;
        }
        try {
            PlatformRequest request = reader.read(message);
            handle(exchange, request);
        } catch (InvalidRequestException e) {
            countRejected(e.getMessage());
            PlatformResponseWriter.writeInvalidRequest(exchange, e);
        }
    }

    private Readiness readiness() {
        if (shuttingDown) {
            return Readiness.SHUTTING_DOWN;
        }
        return ready ? Readiness.READY : Readiness.STARTING;
    }

    private void countRejected(String label) {
        rejectedMessages.merge(label, 1L, Long::sum);
    }

    private void handle(HttpServer.Exchange exchange, PlatformRequest request) {
        requestsInFlight++;
        PendingResponse pending =
                handler.accept(
                        toIncomingRequest(exchange, request), new ExchangeListener(exchange));
        if (exchange.isOpen()) {
            exchange.onClientDisconnect(
                    () -> {
                        requestsInFlight--;
                        pending.clientDisconnected();
                    });
        }
    }

    private IncomingRequest toIncomingRequest(
            HttpServer.Exchange exchange, PlatformRequest request) {
        long waitedMicros = Loop.nowMicros() - exchange.earliestSentAtMicros();
        return new IncomingRequest(
                request.requestClass(),
                NO_TENANT,
                request.function(),
                RequestIdentity.of(
                        request, classes.get(request.requestClass()), exchange.message().content()),
                0,
                request.deadlineMillis() * MICROS_PER_MILLI - waitedMicros,
                "",
                exchange.message().content(),
                NO_JSON_PART,
                request.hints(),
                request.correlationId());
    }

    /** Answers one exchange with the outcome of its request. */
    private final class ExchangeListener implements RequestHandler.ResponseListener {
        private final HttpServer.Exchange exchange;

        private ExchangeListener(HttpServer.Exchange exchange) {
            this.exchange = exchange;
        }

        @Override
        public void completed(RequestOutcome outcome) {
            requestsInFlight--;
            PlatformResponseWriter.writeOutcome(exchange, outcome);
        }

        @Override
        public void checkConnected() {
            exchange.pollForDisconnect();
        }
    }
}
