package waytrestle.platform;

import java.net.InetSocketAddress;
import waytrestle.controller.InvokerClient;
import waytrestle.gateway.EventLoopTransport;
import waytrestle.http.ConnectionLimit;
import waytrestle.http.FairByteLimit;
import waytrestle.http.HttpClient;
import waytrestle.http.HttpLimits;
import waytrestle.invoker.platform.PlatformInvokerProtocol;
import waytrestle.net.Loop;
import waytrestle.scheduler.SchedulerSettings;

/**
 * Connects to the platform's invokers over sockets; all connections share one limit.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class PlatformTransport extends EventLoopTransport {
    /** One response: far more than the platform's requests are answered with. */
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private static final HttpLimits RESPONSE_LIMITS =
            new HttpLimits(
                    HttpLimits.DEFAULT.startLineBytes(),
                    HttpLimits.DEFAULT.headerCount(),
                    HttpLimits.DEFAULT.headerBytes(),
                    MAX_RESPONSE_BYTES,
                    0,
                    0,
                    0,
                    0);

    /** All responses that are being read: a fraction of the memory. */
    private static final long MAX_BUFFERED_RESPONSE_BYTES = 8 << 20;

    /**
     * Time without a byte within a response: responses are small and sent at once. Guards against
     * an invoker that stops within a response and holds its request until the deadline.
     */
    private static final long RESPONSE_STALL_TIMEOUT_MICROS = 250_000;

    /**
     * Time from a response to the next request on its connection. Guards against a duplicate
     * response, which comes milliseconds late: it names no request and would be taken for the
     * answer to the next one.
     */
    private static final long REUSE_DELAY_MICROS = 20_000;

    /** Part of the time after which invokers close idle connections: they must not close first. */
    private static final double IDLE_TIMEOUT_SHARE = 0.8;

    /** Idle time where the settings give none: below the usual five seconds of invokers. */
    private static final long DEFAULT_IDLE_TIMEOUT_MICROS = 4_000_000;

    private final SchedulerSettings settings;
    private final InvokerAddresses addresses;
    private final ConnectionLimit connectionLimit;
    private final FairByteLimit responseBuffer = new FairByteLimit(MAX_BUFFERED_RESPONSE_BYTES);
    private final long idleTimeoutMicros;

    /** Invokers close idle connections after the given time, 0 where that is not reported. */
    PlatformTransport(
            Loop loop,
            SchedulerSettings settings,
            InvokerAddresses addresses,
            long invokerIdleMicros,
            int maxConnections) {
        super(loop);
        this.settings = settings;
        this.addresses = addresses;
        this.connectionLimit = new ConnectionLimit(maxConnections);
        this.idleTimeoutMicros =
                invokerIdleMicros > 0
                        ? (long) (IDLE_TIMEOUT_SHARE * invokerIdleMicros)
                        : DEFAULT_IDLE_TIMEOUT_MICROS;
    }

    @Override
    public InvokerClient openClient(String invoker, Runnable connectionsLost) {
        InetSocketAddress address = addresses.get(invoker);
        PlatformInvokerProtocol protocol =
                new PlatformInvokerProtocol(
                        address.getAddress().getHostAddress() + ":" + address.getPort(),
                        settings.preloading().reportsConcurrency());
        return new PlatformInvokerClient(openHttpClient(address), protocol, settings);
    }

    private HttpClient openHttpClient(InetSocketAddress address) {
        return new HttpClient(
                        loop,
                        address,
                        RESPONSE_LIMITS,
                        Integer.MAX_VALUE,
                        settings.limits().connectTimeoutMicros(),
                        idleTimeoutMicros,
                        responseBuffer)
                .withConnectionLimit(connectionLimit)
                .withResponseStallMicros(RESPONSE_STALL_TIMEOUT_MICROS)
                .withReuseDelayMicros(REUSE_DELAY_MICROS);
    }
}
