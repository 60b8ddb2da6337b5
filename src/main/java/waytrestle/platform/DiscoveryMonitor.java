package waytrestle.platform;

import waytrestle.discovery.watch.WatchState;
import waytrestle.net.Loop;

/**
 * Logs when service discovery becomes unreachable and reachable again, counts and times its
 * outages, and passes the freshness of the endpoint list on to a listener.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class DiscoveryMonitor {
    /** Notified of each change of the endpoint list's freshness. */
    interface FreshnessListener {
        /** See {@link waytrestle.controller.Controller#listFreshnessChanged}. */
        void listFreshnessChanged(long receivedAtMicros, boolean catchingUp);
    }

    private static final long MICROS_PER_MILLI = 1_000;

    private final PlatformLog log;
    private final FreshnessListener freshnessListener;
    private long lostAtMicros;

    /**
     * Whether service discovery is unreachable. True until the watch server's first response; that
     * first wait does not count as an outage.
     */
    private boolean lost = true;

    private long outages;
    private long longestOutageMicros;

    /** Creates a monitor of a watch server that has not responded yet. */
    DiscoveryMonitor(PlatformLog log, FreshnessListener freshnessListener) {
        this.log = log;
        this.freshnessListener = freshnessListener;
        this.lostAtMicros = Loop.nowMicros();
    }

    /**
     * Handles a change of the endpoint list's freshness.
     *
     * @param lastRevision revision of the latest watch event that was applied, for the log
     */
    void freshnessChanged(WatchState.PublishFreshness freshness, long lastRevision) {
        long nowMicros = Loop.nowMicros();
        if (freshness.current() && lost) {
            discoveryRestored(nowMicros, lastRevision);
        } else if (!freshness.current() && !lost) {
            discoveryLost(nowMicros, freshness, lastRevision);
        }
        freshnessListener.listFreshnessChanged(
                freshness.receivedAtMicros(), freshness.catchingUp());
    }

    private void discoveryLost(
            long nowMicros, WatchState.PublishFreshness freshness, long lastRevision) {
        lost = true;
        lostAtMicros = nowMicros;
        outages++;
        log.logMessage(
                new LogLine("discovery.lost")
                        .with("cause", freshness.cause())
                        .with("revision", lastRevision)
                        .with("outdated_in_ms", toMillis(freshness.receivedAtMicros() - nowMicros))
                        .toString());
    }

    private void discoveryRestored(long nowMicros, long lastRevision) {
        lost = false;
        long durationMicros = nowMicros - lostAtMicros;
        longestOutageMicros = Math.max(longestOutageMicros, durationMicros);
        log.logMessage(
                new LogLine(outages == 0 ? "discovery.synchronized" : "discovery.restored")
                        .with("revision", lastRevision)
                        .with("after_ms", toMillis(durationMicros))
                        .toString());
    }

    private static long toMillis(long micros) {
        return micros / MICROS_PER_MILLI;
    }

    /**
     * Returns the summary for the log: the number of outages, the longest time without service
     * discovery in milliseconds, which may be the wait for the watch server's first response, and
     * whether service discovery is unreachable now.
     */
    String summary() {
        long longestMicros =
                lost ? Math.max(longestOutageMicros, Loop.nowMicros() - lostAtMicros) : 0;
        return "outages:"
                + outages
                + " longest_ms:"
                + toMillis(Math.max(longestMicros, longestOutageMicros))
                + " lost_now:"
                + lost;
    }
}
