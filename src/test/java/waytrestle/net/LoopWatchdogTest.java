package waytrestle.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A loop that is stuck is told from one that is idle or busy. */
class LoopWatchdogTest {
    private static final long OBSERVATION_MILLIS = 20;
    private static final int WAIT_SECONDS = 20;

    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();

    private final LoopWatchdog.StallListener listener =
            new LoopWatchdog.StallListener() {
                @Override
                public void stalled(StackTraceElement[] stack) {
                    heard.add("stalled in " + Arrays.toString(stack));
                }

                @Override
                public void recovered() {
                    heard.add("recovered");
                }

                @Override
                public void givenUp() {
                    heard.add("given up");
                }
            };

    @Test
    void aStallIsToldOnceAndAnIdleLoopIsNone() {
        StallDetector detector = new StallDetector(2, 4);
        assertEquals(StallDetector.Verdict.RUNNING, detector.observe(7));
        assertEquals(StallDetector.Verdict.RUNNING, detector.observe(7));
        assertEquals(StallDetector.Verdict.RUNNING, detector.observe(8));
        assertEquals(StallDetector.Verdict.RUNNING, detector.observe(8));
        assertEquals(StallDetector.Verdict.STALLED, detector.observe(8));
        assertEquals(StallDetector.Verdict.RUNNING, detector.observe(8));
        assertEquals(StallDetector.Verdict.RECOVERED, detector.observe(9));
    }

    @Test
    void aStuckLoopIsGivenUpWithItsPlaceTold() throws Exception {
        Loop loop = new Loop("stuck", failure -> {}).start();
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> awaitQuietly(release));
        LoopWatchdog watchdog = new LoopWatchdog(loop, listener, OBSERVATION_MILLIS).start();
        String stalled = heard.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertTrue(stalled.contains("awaitQuietly"), stalled);
        assertEquals("given up", heard.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(1, watchdog.stallCount());
        release.countDown();
        loop.stop();
        loop.join(0);
    }

    private static void awaitQuietly(CountDownLatch release) {
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
