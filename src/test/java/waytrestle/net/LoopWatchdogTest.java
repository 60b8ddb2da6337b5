package waytrestle.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests that a stuck event loop is distinguished from one that is idle or busy. */
class LoopWatchdogTest {
    private static final long OBSERVATION_INTERVAL_MILLIS = 20;
    private static final int WAIT_SECONDS = 20;

    private final BlockingQueue<String> listenerCalls = new LinkedBlockingQueue<>();

    private final LoopWatchdog.StallListener listener =
            new LoopWatchdog.StallListener() {
                @Override
                public void stalled(StackTraceElement[] stack) {
                    listenerCalls.add("stalled in " + Arrays.toString(stack));
                }

                @Override
                public void recovered() {
                    listenerCalls.add("recovered");
                }

                @Override
                public void givenUp() {
                    listenerCalls.add("given up");
                }
            };

    @Test
    void stallIsReportedOnceAndOnlyWithoutCompletedTurns() {
        StallDetector detector =
                new StallDetector(
                        /* stalledAfterObservations= */ 2, /* givenUpAfterObservations= */ 4);
        assertEquals(StallDetector.Verdict.RUNNING, detector.observe(7));
        assertEquals(StallDetector.Verdict.RUNNING, detector.observe(7));
        assertEquals(StallDetector.Verdict.RUNNING, detector.observe(8));
        assertEquals(StallDetector.Verdict.RUNNING, detector.observe(8));
        assertEquals(StallDetector.Verdict.STALLED, detector.observe(8));
        assertEquals(StallDetector.Verdict.RUNNING, detector.observe(8));
        assertEquals(StallDetector.Verdict.RECOVERED, detector.observe(9));
    }

    @Test
    void stuckLoopIsReportedWithItsStackAndThenGivenUp() throws Exception {
        Loop loop = new Loop("stuck", failure -> {}).start();
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> blockUntilReleased(release));
        LoopWatchdog watchdog =
                new LoopWatchdog(loop, listener, OBSERVATION_INTERVAL_MILLIS).start();
        String stalled = listenerCalls.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertTrue(stalled.contains("blockUntilReleased"), stalled);
        assertEquals("given up", listenerCalls.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(1, watchdog.stallCount());
        release.countDown();
        loop.stop();
        loop.join(0);
    }

    private static void blockUntilReleased(CountDownLatch release) {
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
