package waytrestle.bench;

import waytrestle.json.MalformedJsonException;
import waytrestle.scheduler.SchedulerTimer;

/**
 * Converts a scheduler timer to the text that stands for it on the wire, and back. The bench
 * returns the text unchanged when the timer expires, so only the adapter has to understand its
 * format. Stateless.
 */
final class TimerTag {
    private static final String MAINTENANCE = "upkeep";
    private static final String RESUBSCRIPTION = "subscribe";
    private static final String DEADLINE_PREFIX = "end:";
    private static final String RETRY_PREFIX = "hold:";

    private TimerTag() {}

    /** Returns the tag of a timer. */
    static String format(SchedulerTimer timer) {
        if (timer instanceof SchedulerTimer.RequestDeadline deadline) {
            return DEADLINE_PREFIX + deadline.requestId();
        }
        if (timer instanceof SchedulerTimer.QueuedRequestRetry retry) {
            return RETRY_PREFIX + retry.requestId();
        }
        return timer instanceof SchedulerTimer.Maintenance ? MAINTENANCE : RESUBSCRIPTION;
    }

    /**
     * Returns the timer of a tag that {@link #format} returned.
     *
     * @throws MalformedJsonException if the tag has another format
     */
    static SchedulerTimer parse(String tag) {
        if (tag.equals(MAINTENANCE)) {
            return new SchedulerTimer.Maintenance();
        }
        if (tag.equals(RESUBSCRIPTION)) {
            return new SchedulerTimer.EndpointResubscription();
        }
        if (tag.startsWith(DEADLINE_PREFIX)) {
            return new SchedulerTimer.RequestDeadline(requestId(tag, DEADLINE_PREFIX));
        }
        if (tag.startsWith(RETRY_PREFIX)) {
            return new SchedulerTimer.QueuedRequestRetry(requestId(tag, RETRY_PREFIX));
        }
        throw new MalformedJsonException("tag is unknown: " + tag);
    }

    private static long requestId(String tag, String prefix) {
        try {
            return Long.parseLong(tag.substring(prefix.length()));
        } catch (NumberFormatException e) {
            throw new MalformedJsonException("tag contains no request id: " + tag);
        }
    }
}
