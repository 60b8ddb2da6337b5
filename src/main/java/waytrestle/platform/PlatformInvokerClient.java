package waytrestle.platform;

import java.nio.ByteBuffer;
import waytrestle.controller.AttemptResult;
import waytrestle.gateway.HttpInvokerClient;
import waytrestle.http.HttpClient;
import waytrestle.http.HttpMessage;
import waytrestle.invoker.LoadMetrics;
import waytrestle.invoker.platform.PlatformInvokerProtocol;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.responses.ExchangeResult;
import waytrestle.responses.ExchangeResult.Kind;
import waytrestle.scheduler.LoadReportSource;
import waytrestle.scheduler.SchedulerSettings;

/**
 * Sends attempts, preload and unload requests and health checks to one invoker of the platform.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class PlatformInvokerClient extends HttpInvokerClient {
    private final PlatformInvokerProtocol protocol;
    private final SchedulerSettings settings;

    PlatformInvokerClient(
            HttpClient client, PlatformInvokerProtocol protocol, SchedulerSettings settings) {
        super(client);
        this.protocol = protocol;
        this.settings = settings;
    }

    @Override
    public Runnable sendAttempt(
            IncomingRequest request,
            String id,
            int attempt,
            long timeoutMicros,
            AttemptListener listener) {
        ByteBuffer[] message =
                protocol.attemptMessage(
                        settings.classes().get(request.requestClass()).name(),
                        id,
                        request.function(),
                        timeoutMicros,
                        request.payload());
        HttpClient.Call exchange =
                startExchange(
                        timeoutMicros,
                        listener,
                        response -> listener.completed(attemptResult(response)),
                        failure -> listener.completed(AttemptResult.of(failure)),
                        message);
        return exchange::cancel;
    }

    private AttemptResult attemptResult(HttpMessage response) {
        ExchangeResult result = PlatformInvokerProtocol.exchangeResult(response);
        Served served =
                result.kind() == Kind.RESPONSE
                        ? PlatformInvokerProtocol.functionResponse(response)
                        : null;
        return new AttemptResult(
                result, served, "", response.content(), protocol.loadMetrics(response));
    }

    @Override
    public void preload(
            String function, int instances, long timeoutMicros, OperationListener listener) {
        sendOperation(timeoutMicros, protocol.preloadMessage(function, instances), listener);
    }

    @Override
    public void unload(String function, long timeoutMicros) {
        sendOperation(
                timeoutMicros,
                protocol.unloadMessage(function),
                (result, instances, metrics) -> {});
    }

    @Override
    public void checkHealth(long timeoutMicros, OperationListener listener) {
        boolean withLoadReport = settings.loadReports() == LoadReportSource.HEALTH_CHECKS;
        sendOperation(timeoutMicros, protocol.healthCheckMessage(withLoadReport), listener);
    }

    private void sendOperation(long timeoutMicros, ByteBuffer request, OperationListener listener) {
        startExchange(
                timeoutMicros,
                listener,
                response ->
                        listener.completed(
                                PlatformInvokerProtocol.exchangeResult(response),
                                PlatformInvokerProtocol.loadedInstances(response),
                                protocol.loadMetrics(response)),
                failure -> listener.completed(ExchangeResult.of(failure), 0, LoadMetrics.NONE),
                request);
    }
}
