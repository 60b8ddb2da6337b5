package waytrestle.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import waytrestle.controller.AttemptResult;
import waytrestle.controller.InvokerClient;
import waytrestle.controller.InvokerClient.AttemptListener;
import waytrestle.controller.InvokerClient.OperationListener;
import waytrestle.gateway.EventLoopTransport;
import waytrestle.gateway.HttpInvokerClient;
import waytrestle.http.Held;
import waytrestle.http.HttpClient;
import waytrestle.http.HttpLimits;
import waytrestle.http.Slots;
import waytrestle.invoker.LoadMetrics;
import waytrestle.invoker.platform.PlatformInvokerProtocol;
import waytrestle.net.Loop;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.responses.ExchangeResult;
import waytrestle.responses.ExchangeResult.Kind;
import waytrestle.scheduler.LoadReportSource;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * The platform's invokers over sockets, on the controller's loop; all connections to them share one
 * bound.
 */
final class PlatformTransport extends EventLoopTransport {
    private static final int ANSWER =
            1 << 20; // bytes of one answer: far over what a call may bring
    private static final HttpLimits LIMITS =
            new HttpLimits(
                    HttpLimits.DEFAULT.startLineBytes(),
                    HttpLimits.DEFAULT.headerCount(),
                    HttpLimits.DEFAULT.headerBytes(),
                    ANSWER,
                    0,
                    0,
                    0,
                    0);
    private static final long ANSWERS =
            8 << 20; // bytes of all that are being read: a fraction of the memory
    private static final long STALL =
            250_000; // micros without a byte within an answer: these are small, and sent
    // at once when their call has run
    private static final long REST =
            20_000; // micros from an answer to the next request on its connection: a
    // second answer comes milliseconds late, and no answer names its call
    private static final double KEEP =
            0.8; // of the time after which invokers close idle connections
    private static final long KEEP_UNTOLD =
            4_000_000; // micros, where that is not told: below the usual five seconds

    private final SchedulerSettings settings;
    private final Slots slots;
    private final Held held = new Held(ANSWERS);
    private final long idleMicros;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();

    PlatformTransport(Loop loop, SchedulerSettings settings, long idleMicros, int connections) {
        super(loop);
        this.settings = settings;
        this.slots = new Slots(connections);
        this.idleMicros = idleMicros > 0 ? (long) (KEEP * idleMicros) : KEEP_UNTOLD;
    }

    /**
     * Where an invoker is, told before the controller hears of it; whether it was elsewhere before.
     */
    boolean at(String invoker, InetSocketAddress address) {
        InetSocketAddress before = addresses.put(invoker, address);
        return before != null && !before.equals(address);
    }

    void gone(String invoker) {
        addresses.remove(invoker);
    }

    int known() {
        return addresses.size();
    }

    /** Forgets where all others are. */
    void only(Set<String> invokers) {
        addresses.keySet().retainAll(invokers);
    }

    @Override
    public InvokerClient connect(String invoker, Runnable lost) {
        return new Link(addresses.get(invoker));
    }

    private final class Link extends HttpInvokerClient {
        private final PlatformInvokerProtocol protocol;

        private Link(InetSocketAddress at) {
            super(
                    new HttpClient(
                                    loop,
                                    at,
                                    LIMITS,
                                    Integer.MAX_VALUE,
                                    settings.limits().connectTimeoutMicros(),
                                    idleMicros,
                                    held)
                            .within(slots)
                            .stalledAfter(STALL)
                            .restingFor(REST));
            protocol =
                    new PlatformInvokerProtocol(
                            at.getAddress().getHostAddress() + ":" + at.getPort(),
                            settings.preloading().reportsConcurrency());
        }

        @Override
        public Runnable sendAttempt(
                IncomingRequest in, String id, int attempt, long within, AttemptListener ended) {
            List<RequestClass> classes = settings.classes();
            HttpClient.Call exchange =
                    exchange(
                            within,
                            ended::withdrawal,
                            m -> {
                                ExchangeResult reply = PlatformInvokerProtocol.reply(m);
                                ended.completed(
                                        new AttemptResult(
                                                reply,
                                                reply.kind() == Kind.RESPONSE
                                                        ? PlatformInvokerProtocol.served(m)
                                                        : null,
                                                "",
                                                m.content(),
                                                protocol.told(m)));
                            },
                            how -> ended.completed(AttemptResult.of(how)),
                            protocol.fetch(
                                    classes.get(in.requestClass()).name(),
                                    id,
                                    in.function(),
                                    within,
                                    in.payload()));
            return exchange::cancel;
        }

        private void ask(long within, ByteBuffer request, OperationListener told) {
            exchange(
                    within,
                    told::withdrawal,
                    m ->
                            told.completed(
                                    PlatformInvokerProtocol.reply(m),
                                    PlatformInvokerProtocol.units(m),
                                    protocol.told(m)),
                    how -> told.completed(ExchangeResult.of(how), 0, LoadMetrics.NONE),
                    request);
        }

        @Override
        public void preload(String function, int copies, long within, OperationListener told) {
            ask(within, protocol.hold(function, copies), told);
        }

        @Override
        public void unload(String function, long within) {
            ask(within, protocol.unload(function), (reply, copies, told) -> {});
        }

        @Override
        public void checkHealth(long within, OperationListener told) {
            ask(
                    within,
                    protocol.probe(settings.loadReports() == LoadReportSource.HEALTH_CHECKS),
                    told);
        }
    }
}
