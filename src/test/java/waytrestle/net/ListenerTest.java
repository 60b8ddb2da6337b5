package waytrestle.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests how a listener behaves while the process has no free file descriptor. */
class ListenerTest {
    @Test
    void failedAcceptIsRetriedAfterAPauseUntilTheConnectionIsAccepted() throws Exception {
        List<Throwable> loopFailures = Collections.synchronizedList(new ArrayList<>());
        Loop loop = new Loop("test", loopFailures::add);
        AtomicInteger failedAccepts = new AtomicInteger();
        CountDownLatch ticks = new CountDownLatch(3);
        CountDownLatch accepted = new CountDownLatch(1);
        Listener listener =
                new Listener(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        16,
                        server -> {
                            if (ticks.getCount() > 0) {
                                failedAccepts.incrementAndGet();
                                throw new IOException("Too many open files");
                            }
                            return server.accept();
                        },
                        channel -> {
                            accepted.countDown();
                            close(channel);
                        });
        loop.start();
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
            loop.execute(() -> countTicks(loop, ticks));
            assertTrue(ticks.await(10, TimeUnit.SECONDS), "the loop's timers have not run");
            assertTrue(
                    accepted.await(10, TimeUnit.SECONDS),
                    "connection not accepted once accepting works");
            assertEquals(-1, client.getInputStream().read());
        }
        assertTrue(
                failedAccepts.get() <= 10,
                failedAccepts
                        + " failed accepts, at most 10 expected, during three ticks of 100 ms");
        assertEquals(List.of(), loopFailures, "exceptions thrown on the loop");
        loop.stop();
        loop.join(5_000);
    }

    /**
     * Counts the latch down to 0 in ticks of 100 ms, on the loop's own timers. In each tick a
     * spinning loop would try to accept thousands of times, one that pauses for 50 ms twice.
     */
    private static void countTicks(Loop loop, CountDownLatch ticksLeft) {
        if (ticksLeft.getCount() > 0) {
            loop.after(
                    100_000,
                    () -> {
                        ticksLeft.countDown();
                        countTicks(loop, ticksLeft);
                    });
        }
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
