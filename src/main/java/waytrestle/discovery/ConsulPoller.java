package waytrestle.discovery;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;
import waytrestle.discovery.EndpointDirectory.Command;
import waytrestle.discovery.EndpointDirectory.Event;
import waytrestle.discovery.EndpointDirectory.Poll;
import waytrestle.discovery.EndpointDirectory.PollFailed;
import waytrestle.discovery.EndpointDirectory.RegisteredEndpoint;
import waytrestle.discovery.EndpointDirectory.SnapshotReceived;
import waytrestle.http.ExchangeFailure;
import waytrestle.http.FairByteLimit;
import waytrestle.http.HttpClient;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpWriter;
import waytrestle.http.ResponseHandler;
import waytrestle.invoker.InferProtocol;
import waytrestle.net.Loop;
import waytrestle.net.SocketAddresses;
import waytrestle.net.TimerHeap;

/**
 * Polls a Consul-compatible health API for an {@link EndpointDirectory}: while subscribed, with one
 * blocking query after the other; on {@link #fetch}, with a single query that is answered at once.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class ConsulPoller {
    /**
     * Microseconds that the response to a blocking query may take beyond {@link
     * Settings#waitMicros}. The health API may add a sixteenth to the wait; without the slack, a
     * query answered after that would count as failed.
     */
    public static final long RESPONSE_SLACK_MICROS = 2_000_000;

    /**
     * Enough for some 20,000 endpoints. A poll with a longer response counts as failed, so that a
     * response cannot exhaust the memory.
     */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** Enough for the blocking query and a few concurrent fetches. */
    private static final int MAX_CONNECTIONS = 4;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final int STATUS_OK = 200;

    /** Index of a query that is answered at once. */
    private static final long NO_INDEX = 0;

    private static final String INDEX_HEADER = "x-consul-index";

    /**
     * Header that is {@code false} if the health API's server has no leader: its list may then be
     * of any age.
     */
    private static final String KNOWN_LEADER_HEADER = "x-consul-knownleader";

    /** An index; up to 18 digits always fit a {@code long}. */
    private static final Pattern INDEX_PATTERN = Pattern.compile("\\d{1,18}");

    /**
     * Where and how to poll.
     *
     * @param address address of the health API
     * @param service name under which invokers are registered with the health API
     * @param waitMicros how long the health API may hold back the response to a blocking query, in
     *     microseconds
     * @param connectTimeoutMicros how long connecting to the health API may take, in microseconds
     * @param controllerIndex index of the controller that polls, sent with each query so that the
     *     health API can tell controllers apart
     * @param zones names of the configured zones, by index
     * @param kinds names of the configured kinds of invoker, by index
     */
    public record Settings(
            InetSocketAddress address,
            String service,
            long waitMicros,
            long connectTimeoutMicros,
            int controllerIndex,
            List<String> zones,
            List<String> kinds) {}

    private final Loop loop;
    private final Settings settings;
    private final EndpointDirectory directory;
    private final Consumer<Command> publisher;
    private final ConsulHealthReader reader;
    private final HttpClient client;
    private boolean subscribed;
    private TimerHeap.Timer nextPoll;

    /**
     * Creates a poller that does not poll yet.
     *
     * @param directory decides what each response means and when to poll next
     * @param publisher receives the directory's commands except {@link Poll}, which the poller
     *     carries out itself
     * @param unixMillis wall clock in Unix milliseconds, to translate reported start times
     */
    public ConsulPoller(
            Loop loop,
            Settings settings,
            EndpointDirectory directory,
            Consumer<Command> publisher,
            LongSupplier unixMillis) {
        this.loop = loop;
        this.settings = settings;
        this.directory = directory;
        this.publisher = publisher;
        StartTimes startTimes = new StartTimes(Loop::nowMicros, unixMillis);
        this.reader = new ConsulHealthReader(settings.zones(), settings.kinds(), startTimes);
        this.client =
                new HttpClient(
                        loop,
                        settings.address(),
                        responseLimits(),
                        MAX_CONNECTIONS,
                        settings.connectTimeoutMicros(),
                        settings.waitMicros(),
                        new FairByteLimit(Long.MAX_VALUE));
    }

    /**
     * Returns the limits on responses. The time limits in {@link HttpLimits} apply to servers only
     * and are 0 here: a client limits the time of each whole exchange instead.
     */
    private static HttpLimits responseLimits() {
        HttpLimits defaults = HttpLimits.DEFAULT;
        return new HttpLimits(
                defaults.startLineBytes(),
                defaults.headerCount(),
                defaults.headerBytes(),
                MAX_RESPONSE_BYTES,
                0,
                0,
                0,
                0);
    }

    /** Starts or stops the blocking queries; does nothing if they already are in that state. */
    public void setSubscribed(boolean enabled) {
        if (enabled == subscribed) {
            return;
        }
        subscribed = enabled;
        if (enabled) {
            pollWhileSubscribed(NO_INDEX);
        } else if (nextPoll != null) {
            nextPoll.cancel();
        }
    }

    /** Sends one query that is answered at once, whether or not the poller is subscribed. */
    public void fetch() {
        send(NO_INDEX, event -> directory.handle(Loop.nowMicros(), event, this::publishUnlessPoll));
    }

    /**
     * Reads the responses that have already arrived, if the event loop was too busy to look at its
     * connections for long.
     */
    public void pollIfBehind() {
        client.pollIfBehind();
    }

    private void pollWhileSubscribed(long index) {
        if (!subscribed) {
            return;
        }
        send(index, event -> directory.handle(Loop.nowMicros(), event, this::publishOrSchedule));
    }

    private void publishOrSchedule(Command command) {
        if (command instanceof Poll poll) {
            nextPoll = loop.after(poll.delayMicros(), () -> pollWhileSubscribed(poll.index()));
        } else {
            publisher.accept(command);
        }
    }

    private void publishUnlessPoll(Command command) {
        if (!(command instanceof Poll)) {
            publisher.accept(command);
        }
    }

    private void send(long index, Consumer<Event> onResult) {
        ByteBuffer head =
                HttpWriter.request("GET", target(index), SocketAddresses.format(settings.address()))
                        .header(InferProtocol.CONTROLLER, settings.controllerIndex())
                        .head(0);
        ResponseHandler handler =
                new ResponseHandler() {
                    @Override
                    public void responseReceived(HttpMessage response) {
                        onResult.accept(readResponse(response));
                    }

                    @Override
                    public void exchangeFailed(ExchangeFailure how, String why) {
                        onResult.accept(failed());
                    }
                };
        client.call(settings.waitMicros() + RESPONSE_SLACK_MICROS, handler, head);
    }

    private String target(long index) {
        String path = "/v1/health/service/" + settings.service();
        if (index == NO_INDEX) {
            return path;
        }
        return path
                + "?index="
                + index
                + "&wait="
                + settings.waitMicros() / MICROS_PER_MILLI
                + "ms";
    }

    private Event readResponse(HttpMessage response) {
        String index = response.header(INDEX_HEADER);
        boolean hasIndex = index != null && INDEX_PATTERN.matcher(index).matches();
        boolean leaderless = "false".equalsIgnoreCase(response.header(KNOWN_LEADER_HEADER));
        if (response.status() != STATUS_OK || !hasIndex || leaderless) {
            return failed();
        }
        Optional<List<RegisteredEndpoint>> entries = reader.read(response.body());
        return entries.isEmpty()
                ? failed()
                : new SnapshotReceived(
                        Long.parseLong(index), entries.get(), earliestOccurrenceMicros());
    }

    private Event failed() {
        return new PollFailed(earliestOccurrenceMicros());
    }

    /**
     * Returns the earliest time at which a response or failure that is seen only now can have
     * occurred, in microseconds on the event loop's clock.
     */
    private long earliestOccurrenceMicros() {
        return Loop.nowMicros() - loop.unseenMicros();
    }
}
