package waytrestle.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import waytrestle.json.MalformedJsonException;
import waytrestle.scheduler.SchedulerTimer;

/** Checks that timers are restored from their tags. */
class TimerTagTest {
    private static void assertTag(String tag, SchedulerTimer timer) {
        assertEquals(tag, TimerTag.format(timer));
        assertEquals(timer, TimerTag.parse(tag));
    }

    @Test
    void everyKindOfTimerIsFormattedAndParsed() {
        assertTag("upkeep", new SchedulerTimer.Maintenance());
        assertTag("subscribe", new SchedulerTimer.EndpointResubscription());
        assertTag("end:12", new SchedulerTimer.RequestDeadline(12));
        assertTag("hold:34", new SchedulerTimer.QueuedRequestRetry(34));
    }

    @Test
    void tagWithUnknownPrefixOrWithoutRequestIdIsMalformed() {
        assertEquals(
                "tag is unknown: later",
                assertThrows(MalformedJsonException.class, () -> TimerTag.parse("later"))
                        .getMessage());
        assertEquals(
                "tag contains no request id: end:x",
                assertThrows(MalformedJsonException.class, () -> TimerTag.parse("end:x"))
                        .getMessage());
    }
}
