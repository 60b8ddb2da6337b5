package waytrestle.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the translation of reported start times to the scheduler's monotonic clock. */
class StartTimesTest {
    private long nowMicros = 10_000_000;
    private long nowUnixMillis = 1_700_000_000_000L;
    private final StartTimes startTimes = new StartTimes(() -> nowMicros, () -> nowUnixMillis);

    @Test
    void startIsAsLongAgoOnTheMonotonicClockAsOnTheWallClock() {
        assertEquals(7_000_000, startTimes.toMonotonicMicros("a", nowUnixMillis - 3_000));
    }

    @Test
    void startReportedAgainKeepsItsFirstTranslationWhenTheClocksDrift() {
        long startedAtUnixMillis = nowUnixMillis - 3_000;
        startTimes.toMonotonicMicros("a", startedAtUnixMillis);
        nowMicros += 1_000_000;
        nowUnixMillis += 1_500;
        assertEquals(7_000_000, startTimes.toMonotonicMicros("a", startedAtUnixMillis));
    }

    @Test
    void changedStartOfAnEndpointIsTranslatedAgain() {
        startTimes.toMonotonicMicros("a", nowUnixMillis - 3_000);
        assertEquals(9_000_000, startTimes.toMonotonicMicros("a", nowUnixMillis - 1_000));
    }

    @Test
    void startBeforeTheOriginOfTheMonotonicClockBecomesOneMicrosecondNotUnreported() {
        assertEquals(1, startTimes.toMonotonicMicros("a", nowUnixMillis - 60_000));
    }

    @Test
    void unreportedStartStaysUnreportedAfterAReportedOne() {
        startTimes.toMonotonicMicros("a", nowUnixMillis - 3_000);
        assertEquals(StartTimes.NOT_REPORTED, startTimes.toMonotonicMicros("a", 0));
    }

    @Test
    void wallClockStepNeitherMovesAStartBackNorPutsItInTheFuture() {
        long startedAtUnixMillis = nowUnixMillis;
        nowUnixMillis += 3_600_000;
        assertEquals(10_000_000, startTimes.toMonotonicMicros("a", startedAtUnixMillis));
        nowUnixMillis -= 7_200_000;
        assertEquals(10_000_000, startTimes.toMonotonicMicros("b", startedAtUnixMillis));
    }
}
