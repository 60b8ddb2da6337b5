package waytrestle.gateway;

import java.nio.ByteBuffer;
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
import waytrestle.net.Loop;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.responses.ExchangeResult;
import waytrestle.responses.ExchangeResult.Kind;

/**
 * Invokers over sockets: the Open Inference Protocol on kept connections, on the controller's loop.
 */
final class SocketTransport extends EventLoopTransport {
    private final GatewayConfig config;
    private final HttpLimits bounds;
    private final FairByteLimit held;

    SocketTransport(Loop loop, GatewayConfig config) {
        super(loop);
        this.config = config;
        this.held = new FairByteLimit(config.invokerConnections().maxTotalResponseBytes());
        HttpLimits d = HttpLimits.DEFAULT;
        this.bounds =
                new HttpLimits(
                        d.startLineBytes(),
                        d.headerCount(),
                        d.headerBytes(),
                        config.invokerConnections().maxResponseBytes(),
                        0,
                        0,
                        0,
                        0);
    }

    @Override
    public InvokerClient openClient(String invoker, Runnable lost) {
        return new Link(invoker, lost);
    }

    private final class Link extends HttpInvokerClient {
        private final InferProtocol protocol;

        private Link(String id, Runnable lost) {
            super(
                    new HttpClient(
                                    loop,
                                    GatewayConfig.parseAddress(id),
                                    bounds,
                                    config.invokerConnections().maxConnections(),
                                    config.schedulerSettings().limits().connectTimeoutMicros(),
                                    config.invokerConnections().idleCloseMicros(),
                                    held)
                            .withPeerEndListener(lost));
            protocol = new InferProtocol(id, config.schedulerSettings().controllerIndex());
        }

        @Override
        public Runnable sendAttempt(
                IncomingRequest in, String id, int attempt, long within, AttemptListener ended) {
            ByteBuffer[] request =
                    in.jsonBytes() >= 0
                            ? protocol.passed(
                                    in.function(), id, attempt, in.payload(), in.jsonBytes())
                            : protocol.infer(
                                    in.function(), id, attempt, in.contentType(), in.payload());
            HttpClient.Call exchange =
                    startExchange(
                            within,
                            ended,
                            m -> {
                                Served served =
                                        m.status() != 200
                                                ? null
                                                : in.jsonBytes() >= 0
                                                        ? InferProtocol.whole(m)
                                                        : InferProtocol.answer(m, id);
                                String type = m.header("content-type");
                                ended.completed(
                                        new AttemptResult(
                                                m.status() != 200
                                                        ? new ExchangeResult(
                                                                Kind.STATUS, m.status())
                                                        : ExchangeResult.of(
                                                                served == null
                                                                        ? Kind.MALFORMED
                                                                        : Kind.RESPONSE),
                                                served,
                                                type == null ? "application/octet-stream" : type,
                                                m.content(),
                                                metrics(m)));
                            },
                            how -> ended.completed(AttemptResult.of(how)),
                            request);
            return exchange::cancel;
        }

        private LoadMetrics metrics(HttpMessage m) {
            return LoadMetrics.read(m.header(LoadMetrics.HEADER));
        }

        private interface Copies {
            int of(HttpMessage m);
        }

        private void ask(
                long within, Copies copies, OperationListener told, ByteBuffer... request) {
            startExchange(
                    within,
                    told,
                    m -> {
                        boolean ok = m.status() == 200;
                        told.completed(
                                ok
                                        ? ExchangeResult.of(Kind.RESPONSE)
                                        : new ExchangeResult(Kind.STATUS, m.status()),
                                ok ? copies.of(m) : 0,
                                metrics(m));
                    },
                    how -> told.completed(ExchangeResult.of(how), 0, LoadMetrics.NONE),
                    request);
        }

        @Override
        public void preload(String function, int copies, long within, OperationListener told) {
            if (copies == 0) {
                ask(within, m -> InferProtocol.copies(m, function), told, protocol.index());
                return;
            }
            ask(
                    within,
                    m -> {
                        int standing = metrics(m).copies();
                        return standing < 0
                                ? copies
                                : standing; // a load answered with success stands
                    },
                    told,
                    protocol.load(function, copies));
        }

        @Override
        public void unload(String function, long within) {
            ask(within, m -> 0, (reply, copies, told) -> {}, protocol.unload(function));
        }

        @Override
        public void checkHealth(long within, OperationListener told) {
            ask(within, m -> 0, told, protocol.ready());
        }
    }
}
