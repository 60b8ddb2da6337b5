package waytrestle.gateway;

import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import waytrestle.config.GatewayConfig;
import waytrestle.controller.AttemptResult;
import waytrestle.controller.InvokerClient;
import waytrestle.controller.InvokerClient.AttemptListener;
import waytrestle.controller.InvokerClient.OperationListener;
import waytrestle.http.FairByteLimit;
import waytrestle.http.HttpClient;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpMessage;
import waytrestle.invoker.InferProtocol;
import waytrestle.invoker.LoadMetrics;
import waytrestle.metrics.Metrics;
import waytrestle.net.Loop;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.responses.ExchangeResult;
import waytrestle.responses.ExchangeResult.Kind;

/**
 * A transport whose invoker clients speak the Open Inference Protocol over keep-alive connections.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class SocketTransport extends EventLoopTransport {
    private static final Logger LOG = LoggerFactory.getLogger(SocketTransport.class);
    private static final String STRAY_BYTES_METRIC = "waytrestle_invoker_stray_bytes_total";
    private static final long MICROS_PER_MILLI = 1_000;

    private final GatewayConfig config;
    private final HttpLimits responseLimits;

    /** Limits the responses that are being received, over all invokers. */
    private final FairByteLimit responseBytes;

    private final Metrics.Counter strayBytes;

    SocketTransport(Loop loop, GatewayConfig config, Metrics metrics) {
        super(loop);
        this.strayBytes = metrics.counter(STRAY_BYTES_METRIC, "");
        metrics.setHelp(
                STRAY_BYTES_METRIC,
                "Connections to invokers on which bytes arrived that no request had asked for.");
        this.config = config;
        this.responseBytes = new FairByteLimit(config.invokerConnections().maxTotalResponseBytes());
        HttpLimits defaults = HttpLimits.DEFAULT;
        this.responseLimits =
                new HttpLimits(
                        defaults.startLineBytes(),
                        defaults.headerCount(),
                        defaults.headerBytes(),
                        config.invokerConnections().maxResponseBytes(),
                        0,
                        0,
                        0,
                        0);
    }

    @Override
    public InvokerClient openClient(String invoker, Runnable connectionsLostListener) {
        return new SocketInvokerClient(invoker, connectionsLostListener);
    }

    private void recordStrayBytes(String invokerId, int bytes, long idleMicros) {
        strayBytes.increment();
        LOG.warn(
                "invoker.stray_bytes invoker={} bytes={} idle_ms={}",
                invokerId,
                bytes,
                idleMicros / MICROS_PER_MILLI);
    }

    /** The client of one invoker. */
    private final class SocketInvokerClient extends HttpInvokerClient {
        private final InferProtocol protocol;

        private SocketInvokerClient(String invokerId, Runnable connectionsLostListener) {
            super(
                    new HttpClient(
                                    loop,
                                    GatewayConfig.parseAddress(invokerId),
                                    responseLimits,
                                    config.invokerConnections().maxConnections(),
                                    config.schedulerSettings().limits().connectTimeoutMicros(),
                                    config.invokerConnections().idleCloseMicros(),
                                    responseBytes)
                            .withPeerEndListener(connectionsLostListener)
                            .withStrayBytesListener(
                                    (peer, bytes, idleMicros) ->
                                            recordStrayBytes(invokerId, bytes, idleMicros)));
            protocol = new InferProtocol(invokerId, config.schedulerSettings().controllerIndex());
        }

        @Override
        public Runnable sendAttempt(
                IncomingRequest incoming,
                String id,
                int attempt,
                long timeoutMicros,
                AttemptListener listener) {
            ByteBuffer[] request =
                    incoming.jsonBytes() >= 0
                            ? protocol.passed(
                                    incoming.function(),
                                    id,
                                    attempt,
                                    incoming.payload(),
                                    incoming.jsonBytes())
                            : protocol.infer(
                                    incoming.function(),
                                    id,
                                    attempt,
                                    incoming.contentType(),
                                    incoming.payload());
            HttpClient.Call exchange =
                    startExchange(
                            timeoutMicros,
                            listener,
                            response -> {
                                Served served =
                                        response.status() != 200
                                                ? null
                                                : incoming.jsonBytes() >= 0
                                                        ? InferProtocol.whole(response)
                                                        : InferProtocol.answer(response, id);
                                String type = response.header("content-type");
                                listener.completed(
                                        new AttemptResult(
                                                response.status() != 200
                                                        ? new ExchangeResult(
                                                                Kind.STATUS, response.status())
                                                        : ExchangeResult.of(
                                                                served == null
                                                                        ? Kind.MALFORMED
                                                                        : Kind.RESPONSE),
                                                served,
                                                type == null ? "application/octet-stream" : type,
                                                response.content(),
                                                loadMetrics(response)));
                            },
                            failure -> listener.completed(AttemptResult.of(failure)),
                            request);
            return exchange::cancel;
        }

        private LoadMetrics loadMetrics(HttpMessage response) {
            return LoadMetrics.read(response.header(LoadMetrics.HEADER));
        }

        /** Reads the number of loaded instances of a function from a successful response. */
        private interface InstanceCountReader {
            int read(HttpMessage response);
        }

        private void startOperation(
                long timeoutMicros,
                InstanceCountReader instanceCount,
                OperationListener listener,
                ByteBuffer... request) {
            startExchange(
                    timeoutMicros,
                    listener,
                    response -> {
                        boolean ok = response.status() == 200;
                        listener.completed(
                                ok
                                        ? ExchangeResult.of(Kind.RESPONSE)
                                        : new ExchangeResult(Kind.STATUS, response.status()),
                                ok ? instanceCount.read(response) : 0,
                                loadMetrics(response));
                    },
                    failure -> listener.completed(ExchangeResult.of(failure), 0, LoadMetrics.NONE),
                    request);
        }

        @Override
        public void preload(
                String function, int instances, long timeoutMicros, OperationListener listener) {
            if (instances == 0) {
                startOperation(
                        timeoutMicros,
                        response -> InferProtocol.copies(response, function),
                        listener,
                        protocol.index());
                return;
            }
            startOperation(
                    timeoutMicros,
                    response -> {
                        int reported = loadMetrics(response).copies();
                        return reported < 0
                                ? instances
                                : reported; // without a report, success means that all are loaded
                    },
                    listener,
                    protocol.load(function, instances));
        }

        @Override
        public void unload(String function, long timeoutMicros) {
            startOperation(
                    timeoutMicros,
                    response -> 0,
                    (result, instances, metrics) -> {},
                    protocol.unload(function));
        }

        @Override
        public void checkHealth(long timeoutMicros, OperationListener listener) {
            startOperation(timeoutMicros, response -> 0, listener, protocol.ready());
        }
    }
}
