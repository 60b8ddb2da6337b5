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
 * Where a gateway's controller has its endpoint list from: a fixed list, or a health API, whose
 * outages it logs and counts.
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
    private final ConsulPoller poller;
    private boolean lost;
    private long lostAtMicros;
    private long outages;

    EndpointSource(
            GatewayConfig config, Controller controller, Loop loop, LongSupplier unixMillis) {
        this.config = config;
        this.controller = controller;
        this.directory = directory();
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

    private EndpointDirectory directory() {
        GatewayConfig.Discovery roster = config.discovery();
        long responseMicros = roster.queryWaitMicros() + ConsulPoller.RESPONSE_SLACK_MICROS;
        return new EndpointDirectory(
                roster.minRetryPauseMicros(),
                roster.maxRetryPauseMicros(),
                isPolledOnDemand(),
                config.seed(),
                new PollFreshness.Limits(responseMicros, roster.validAfterFailureMicros()));
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

    /** Names what is measured here. */
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

    /** Hands over the fixed list, or begins to poll. */
    void start() {
        if (isFixed()) {
            publishFixed();
        } else if (isPolledOnDemand()) {
            // The scheduler subscribes once it has received a list, empty as yet.
            controller.endpointsUpdated(new EndpointsUpdated(true, true, List.of()));
        } else {
            poller.setSubscribed(true);
        }
    }

    private void publishFixed() {
        controller.endpointsUpdated(
                new EndpointsUpdated(true, false, config.discovery().fixedEndpoints()));
    }

    /** Starts or stops following the health API. */
    void subscribe(boolean enabled) {
        if (!isFixed()) {
            poller.setSubscribed(enabled);
        }
    }

    /** Hands over the list once. */
    void fetch() {
        if (isFixed()) {
            publishFixed();
        } else {
            poller.fetch();
        }
    }

    /** Takes in what the health API has sent already, where the event loop was busy elsewhere. */
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
        long now = Loop.nowMicros();
        if (freshness.current() && lost) {
            lost = false;
            LOG.info("discovery.restored after_ms={}", (now - lostAtMicros) / MICROS_PER_MILLI);
        } else if (!freshness.current() && !lost) {
            lost = true;
            lostAtMicros = now;
            outages++;
            LOG.warn(
                    "discovery.lost endpoints={} outdated_in_ms={}",
                    directory.size(),
                    outdatedIn(freshness.receivedAtMicros(), now));
        }
        controller.listFreshnessChanged(freshness.receivedAtMicros(), false);
    }

    private static String outdatedIn(long receivedAtMicros, long now) {
        return receivedAtMicros == PollFreshness.UNLIMITED
                ? "never"
                : Long.toString((receivedAtMicros - now) / MICROS_PER_MILLI);
    }
}
