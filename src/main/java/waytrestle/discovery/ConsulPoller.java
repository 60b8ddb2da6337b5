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
 * Polls a Consul-compatible health API for an {@link EndpointDirectory}: with blocking queries one
 * after the other while subscribed, and with a single plain query on {@link #fetch}.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class ConsulPoller {
    /**
     * Beyond the agreed wait, to which the health API may add a sixteenth. Without it, a blocking
     * query that returns late would count as failed.
     */
    public static final long RESPONSE_SLACK_MICROS = 2_000_000;

    /** Some 20,000 endpoints; a longer response counts as failed and cannot exhaust the memory. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** A blocking query and some fetches beside it. */
    private static final int MAX_CONNECTIONS = 4;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final int STATUS_OK = 200;
    private static final long NO_INDEX = 0;
    private static final String INDEX_HEADER = "x-consul-index";

    /** {@code false} on a list that a server without a leader has kept, of whatever age. */
    private static final String KNOWN_LEADER_HEADER = "x-consul-knownleader";

    /** At most 18 digits always fit a long. */
    private static final Pattern INDEX = Pattern.compile("\\d{1,18}");

    /**
     * Where and how to poll.
     *
     * @param address of the health API
     * @param service the name under which invokers are registered
     * @param waitMicros how long the health API may hold back the response to a blocking query
     * @param controllerIndex sent along, so that the health API can tell controllers apart
     * @param zones the configured zones, by index
     * @param kinds the configured kinds of invoker, by index
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
     * Does not poll yet.
     *
     * @param publisher receives the directory's commands other than {@link Poll}, which are carried
     *     out here
     * @param unixMillis the wall clock, to translate reported start times
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

    /** The time limits are those of a server; a client has one for the whole exchange. */
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

    /** Starts or stops the blocking queries. */
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

    /** Polls once without blocking, whether or not there is a subscription. */
    public void fetch() {
        send(NO_INDEX, event -> directory.handle(Loop.nowMicros(), event, this::publishUnlessPoll));
    }

    /** Reads what has come meanwhile, where the event loop has been busy elsewhere for long. */
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
        String plain = "/v1/health/service/" + settings.service();
        if (index == NO_INDEX) {
            return plain;
        }
        return plain
                + "?index="
                + index
                + "&wait="
                + settings.waitMicros() / MICROS_PER_MILLI
                + "ms";
    }

    private Event readResponse(HttpMessage response) {
        String index = response.header(INDEX_HEADER);
        boolean indexed = index != null && INDEX.matcher(index).matches();
        boolean leaderless = "false".equalsIgnoreCase(response.header(KNOWN_LEADER_HEADER));
        if (response.status() != STATUS_OK || !indexed || leaderless) {
            return failed();
        }
        Optional<List<RegisteredEndpoint>> entries = reader.read(response.body());
        return entries.isEmpty()
                ? failed()
                : new SnapshotReceived(Long.parseLong(index), entries.get(), earliestMicros());
    }

    private Event failed() {
        return new PollFailed(earliestMicros());
    }

    /** The earliest time at which what is found now can have happened. */
    private long earliestMicros() {
        return Loop.nowMicros() - loop.unseenMicros();
    }
}
