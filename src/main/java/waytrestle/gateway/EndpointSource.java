package waytrestle.gateway;

import java.util.List;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import waytrestle.config.GatewayConfig;
import waytrestle.controller.Controller;
import waytrestle.discovery.ConsulPoller;
import waytrestle.discovery.EndpointDirectory;
import waytrestle.discovery.PollFreshness;
import waytrestle.metrics.Metrics;
import waytrestle.net.Loop;
import waytrestle.scheduler.DiscoveryMode;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/**
 * Provides a gateway's controller with its endpoint list, either the fixed one of the configuration
 * or that of a health API. Logs and counts the outages of the health API.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class EndpointSource {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointSource.class);
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long MICROS_PER_MILLI = 1_000;

    private final GatewayConfig config;
    private final Controller controller;
    private final EndpointDirectory directory;

    /** Null with a fixed list. */
    private final ConsulPoller poller;

    /** Whether the latest query to the health API has failed or its response is overdue. */
    private boolean lost;

    /** Monotonic time of the start of the latest outage. */
    private long lostAtMicros;

    private long outages;

    /**
     * Creates a source that provides nothing before {@link #start}.
     *
     * @param unixMillis returns the wall-clock time, to translate the start times of invokers
     */
    EndpointSource(
            GatewayConfig config, Controller controller, Loop loop, LongSupplier unixMillis) {
        this.config = config;
        this.controller = controller;
        this.directory = createDirectory();
        this.poller =
                isFixed()
                        ? null
                        : new ConsulPoller(
                                loop, pollerSettings(), directory, this::execute, unixMillis);
    }

    private boolean isFixed() {
        return config.discovery().healthApiAddress() == null;
    }

    private boolean isPolledOnDemand() {
        return config.schedulerSettings().discovery() == DiscoveryMode.POLL;
    }

    private EndpointDirectory createDirectory() {
        GatewayConfig.Discovery discovery = config.discovery();
        long responseMicros = discovery.queryWaitMicros() + ConsulPoller.RESPONSE_SLACK_MICROS;
        return new EndpointDirectory(
                discovery.minRetryPauseMicros(),
                discovery.maxRetryPauseMicros(),
                isPolledOnDemand(),
                config.seed(),
                new PollFreshness.Limits(responseMicros, discovery.validAfterFailureMicros()));
    }

    private ConsulPoller.Settings pollerSettings() {
        return new ConsulPoller.Settings(
                config.discovery().healthApiAddress(),
                config.discovery().service(),
                config.discovery().queryWaitMicros(),
                config.schedulerSettings().limits().connectTimeoutMicros(),
                config.schedulerSettings().controllerIndex(),
                config.zones(),
                config.invokerKinds());
    }

    /** Registers the metrics of the health API; none with a fixed list. */
    void registerMetrics(Metrics metrics) {
        if (isFixed()) {
            return;
        }
        metrics.setHelp("waytrestle_roster_age_seconds", "Time since the roster last answered.");
        metrics.registerGauge(
                "waytrestle_roster_age_seconds",
                "",
                () -> directory.ageMicros(Loop.nowMicros()) / MICROS_PER_SECOND);
        metrics.setHelp("waytrestle_roster_lost", "1 while the roster's last query has failed.");
        metrics.registerGauge("waytrestle_roster_lost", "", () -> lost ? 1 : 0);
        metrics.setHelp("waytrestle_roster_outages", "Times that the roster was lost.");
        metrics.registerGauge("waytrestle_roster_outages", "", () -> outages);
    }

    /**
     * Hands the fixed list to the controller, or an empty one if the health API is polled on
     * demand, or else starts the blocking queries.
     */
    void start() {
        if (isFixed()) {
            publishFixed();
        } else if (isPolledOnDemand()) {
            // The scheduler subscribes only after it has received a list, so it gets an empty one.
            controller.endpointsUpdated(new EndpointsUpdated(true, true, List.of()));
        } else {
            poller.setSubscribed(true);
        }
    }

    private void publishFixed() {
        controller.endpointsUpdated(
                new EndpointsUpdated(true, false, config.discovery().fixedEndpoints()));
    }

    /** Starts or stops the blocking queries to the health API; no effect with a fixed list. */
    void subscribe(boolean enabled) {
        if (!isFixed()) {
            poller.setSubscribed(enabled);
        }
    }

    /** Hands the fixed list to the controller, or queries the health API once. */
    void fetch() {
        if (isFixed()) {
            publishFixed();
        } else {
            poller.fetch();
        }
    }

    /**
     * Reads responses that the health API has already sent, if the event loop was busy for long.
     */
    void pollIfBehind() {
        if (!isFixed()) {
            poller.pollIfBehind();
        }
    }

    private void execute(EndpointDirectory.Command command) {
        if (command instanceof EndpointDirectory.PublishUpdate update) {
            controller.endpointsUpdated(update.update());
        } else if (command instanceof EndpointDirectory.PublishFreshness freshness) {
            freshnessChanged(freshness);
        } else {
            controller.endpointUpdateFailed();
        }
    }

    private void freshnessChanged(EndpointDirectory.PublishFreshness freshness) {
        long nowMicros = Loop.nowMicros();
        if (freshness.current() && lost) {
            lost = false;
            LOG.info(
                    "discovery.restored after_ms={}",
                    (nowMicros - lostAtMicros) / MICROS_PER_MILLI);
        } else if (!freshness.current() && !lost) {
            lost = true;
            lostAtMicros = nowMicros;
            outages++;
            LOG.warn(
                    "discovery.lost endpoints={} outdated_in_ms={}",
                    directory.size(),
                    millisUntilOutdated(freshness.receivedAtMicros(), nowMicros));
        }
        controller.listFreshnessChanged(freshness.receivedAtMicros(), false);
    }

    private static String millisUntilOutdated(long receivedAtMicros, long nowMicros) {
        return receivedAtMicros == PollFreshness.UNLIMITED
                ? "never"
                : Long.toString((receivedAtMicros - nowMicros) / MICROS_PER_MILLI);
    }
}
