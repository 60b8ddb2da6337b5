package waytrestle.platform;

import waytrestle.discovery.watch.WatchState;
import waytrestle.net.Loop;

/**
 * Logs when service discovery goes out of reach and comes back, and passes on by when the endpoint
 * list counts as outdated.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class DiscoveryMonitor {
    /** Hears by when the endpoint list counts as outdated. */
    interface FreshnessListener {
        /** See {@link waytrestle.controller.Controller#listFreshnessChanged}. */
        void listFreshnessChanged(long receivedAtMicros, boolean catchingUp);
    }

    private static final long MICROS_PER_MILLI = 1_000;

    private final PlatformLog log;
    private final FreshnessListener freshnessListener;
    private long lostAtMicros;
    private boolean lost = true; // until the server has answered for the first time
    private long outages;
    private long longestOutageMicros;

    /** The listener gets the time from which on all that discovery holds counts as received. */
    DiscoveryMonitor(PlatformLog log, FreshnessListener freshnessListener) {
        this.log = log;
        this.freshnessListener = freshnessListener;
        this.lostAtMicros = Loop.nowMicros();
    }

    /** Takes in that the list is current, or by when it counts as outdated. */
    void freshnessChanged(WatchState.PublishFreshness freshness, long lastRevision) {
        long now = Loop.nowMicros();
        if (freshness.current() && lost) {
            discoveryRestored(now, lastRevision);
        } else if (!freshness.current() && !lost) {
            discoveryLost(now, freshness, lastRevision);
        }
        freshnessListener.listFreshnessChanged(
                freshness.receivedAtMicros(), freshness.catchingUp());
    }

    private void discoveryLost(long now, WatchState.PublishFreshness freshness, long lastRevision) {
        lost = true;
        lostAtMicros = now;
        outages++;
        log.logMessage(
                new LogLine("discovery.lost")
                        .with("cause", freshness.cause())
                        .with("revision", lastRevision)
                        .with("outdated_in_ms", toMillis(freshness.receivedAtMicros() - now))
                        .toString());
    }

    private void discoveryRestored(long now, long lastRevision) {
        lost = false;
        long duration = now - lostAtMicros;
        longestOutageMicros = Math.max(longestOutageMicros, duration);
        log.logMessage(
                new LogLine(outages == 0 ? "discovery.synchronized" : "discovery.restored")
                        .with("revision", lastRevision)
                        .with("after_ms", toMillis(duration))
                        .toString());
    }

    private static long toMillis(long micros) {
        return micros / MICROS_PER_MILLI;
    }

    /** How often discovery was lost since the start, and for how long at the most. */
    String summary() {
        long longest = lost ? Math.max(longestOutageMicros, Loop.nowMicros() - lostAtMicros) : 0;
        return "outages:"
                + outages
                + " longest_ms:"
                + toMillis(Math.max(longest, longestOutageMicros))
                + " lost_now:"
                + lost;
    }
}
