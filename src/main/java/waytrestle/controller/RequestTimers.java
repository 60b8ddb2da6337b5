package waytrestle.controller;

import waytrestle.controller.Transport.ScheduledTask;

/**
 * The timers that the scheduler has set for one request, one of each kind. They are cancelled when
 * the request ends, so that their number is bounded by the requests in flight and not by the
 * request rate and the deadlines that clients ask for.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class RequestTimers {
    private ScheduledTask deadline;
    private ScheduledTask retry;

    /** Replaces the timer of the request's deadline. */
    void setDeadline(ScheduledTask timer) {
        cancel(deadline);
        deadline = timer;
    }

    /** Replaces the timer by which a queued request is routed again. */
    void setRetry(ScheduledTask timer) {
        cancel(retry);
        retry = timer;
    }

    /** Cancels all timers. */
    void cancelAll() {
        setDeadline(null);
        setRetry(null);
    }

    private static void cancel(ScheduledTask timer) {
        if (timer != null) {
            timer.cancel();
        }
    }
}
