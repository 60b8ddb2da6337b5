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

/** Accepting where no descriptor is free. */
class ListenerTest {
    @Test
    void withNoDescriptorFreeTheConnectionWaitsAndTheLoopDoesNotSpin() throws Exception {
        List<Throwable> broken = Collections.synchronizedList(new ArrayList<>());
        Loop loop = new Loop("test", broken::add);
        AtomicInteger tries = new AtomicInteger();
        CountDownLatch some = new CountDownLatch(3);
        CountDownLatch taken = new CountDownLatch(1);
        Listener listener =
                new Listener(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        16,
                        server -> {
                            if (some.getCount() > 0) {
                                tries.incrementAndGet();
                                throw new IOException("Too many open files");
                            }
                            return server.accept();
                        },
                        channel -> {
                            taken.countDown();
                            close(channel);
                        });
        loop.start();
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
            loop.execute(() -> turns(loop, some));
            assertTrue(some.await(10, TimeUnit.SECONDS));
            assertTrue(taken.await(10, TimeUnit.SECONDS), "it is taken once one is free");
            assertEquals(-1, s.getInputStream().read());
        }
        assertTrue(
                tries.get() <= 10, "tried " + tries + " times while three ticks of 100 ms passed");
        assertEquals(List.of(), broken);
        loop.stop();
        loop.join(5_000);
    }

    /**
     * Ticks on the loop's own clock: while a spinning loop would try thousands of times, a pausing
     * one tries twice.
     */
    private static void turns(Loop loop, CountDownLatch left) {
        if (left.getCount() > 0) {
            loop.after(
                    100_000,
                    () -> {
                        left.countDown();
                        turns(loop, left);
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
