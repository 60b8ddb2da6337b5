package waytrestle.bench;

import waytrestle.json.MalformedJsonException;
import waytrestle.scheduler.SchedulerTimer;

/**
 * The text that stands for a timer on the wire. The bench hands it back as it was given, so its
 * form is the adapter's own.
 */
final class TimerTag {
    private static final String MAINTENANCE = "upkeep";
    private static final String RESUBSCRIPTION = "subscribe";
    private static final String DEADLINE_PREFIX = "end:";
    private static final String RETRY_PREFIX = "hold:";

    private TimerTag() {}

    /** The tag of a timer. */
    static String format(SchedulerTimer timer) {
        if (timer instanceof SchedulerTimer.RequestDeadline deadline) {
            return DEADLINE_PREFIX + deadline.requestId();
        }
        if (timer instanceof SchedulerTimer.QueuedRequestRetry retry) {
            return RETRY_PREFIX + retry.requestId();
        }
        return timer instanceof SchedulerTimer.Maintenance ? MAINTENANCE : RESUBSCRIPTION;
    }

    /** The timer of a tag that {@link #format} gave. */
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
            throw new MalformedJsonException("tag holds no request's number: " + tag);
        }
    }
}
