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
 * Opens clients of the platform's invokers. The connections of all clients share one limit on their
 * number and one on the bytes of the responses being read.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class PlatformTransport extends EventLoopTransport {
    /** Largest body of one response: far more than the platform's functions respond with. */
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

    /** Largest number of bytes of all responses being read: a fraction of the memory. */
    private static final long MAX_BUFFERED_RESPONSE_BYTES = 8 << 20;

    /**
     * Longest time without a further byte of a response that has begun to arrive. Invokers send
     * responses, which are small, in one go. Guards against an invoker that stops in the middle of
     * a response and so delays the request until its deadline.
     */
    private static final long RESPONSE_STALL_TIMEOUT_MICROS = 250_000;

    /**
     * Shortest time from a response to the next request on the same connection. Guards against a
     * duplicate response, which arrives some milliseconds after the first: it does not name its
     * request, so it would be taken for the response to the next one.
     */
    private static final long REUSE_DELAY_MICROS = 20_000;

    /**
     * Share of the invokers' idle timeout after which this side closes an idle connection: an
     * invoker must not close first, since its close could cross a request.
     */
    private static final double IDLE_TIMEOUT_SHARE = 0.8;

    /**
     * Time after which this side closes an idle connection if the configuration does not declare
     * the invokers' idle timeout: below the usual five seconds of invokers.
     */
    private static final long DEFAULT_IDLE_TIMEOUT_MICROS = 4_000_000;

    private final SchedulerSettings settings;
    private final InvokerAddresses addresses;
    private final ConnectionLimit connectionLimit;
    private final FairByteLimit responseBuffer = new FairByteLimit(MAX_BUFFERED_RESPONSE_BYTES);
    private final long idleTimeoutMicros;
    private final HttpClient.StrayBytesListener strayBytesListener;

    /**
     * Creates a transport without connections.
     *
     * @param invokerIdleTimeoutMicros time after which invokers close an idle connection; 0 if not
     *     declared
     * @param maxConnections largest number of connections to all invokers together
     * @param strayBytesListener receives reports of bytes that no request has asked for
     */
    PlatformTransport(
            Loop loop,
            SchedulerSettings settings,
            InvokerAddresses addresses,
            long invokerIdleTimeoutMicros,
            int maxConnections,
            HttpClient.StrayBytesListener strayBytesListener) {
        super(loop);
        this.settings = settings;
        this.addresses = addresses;
        this.strayBytesListener = strayBytesListener;
        this.connectionLimit = new ConnectionLimit(maxConnections);
        this.idleTimeoutMicros =
                invokerIdleTimeoutMicros > 0
                        ? (long) (IDLE_TIMEOUT_SHARE * invokerIdleTimeoutMicros)
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
                .withReuseDelayMicros(REUSE_DELAY_MICROS)
                .withStrayBytesListener(strayBytesListener);
    }
}
