package waytrestle.platform;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Ports on loopback that nobody listens at and nobody else here was given. They lie below the range
 * from which the kernel gives outgoing connections theirs: one of these could take a port before
 * its listener does, or between two listeners.
 */
final class LoopbackPorts {
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 12_000;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() % PORTS));

    private static final int BIND_ATTEMPTS = 200;
    private static final long BIND_PAUSE_NANOS = 10_000_000;

    /** Opens something that listens. */
    interface Opening<T> {
        T open() throws IOException;
    }

    private LoopbackPorts() {}

    /**
     * Opens a listener whose port may still be held for a moment: by the thread that has left the
     * last one, or by a process just being started, which holds all descriptors until its program
     * begins.
     */
    static <T> T listen(Opening<T> opening) throws IOException {
        for (int i = 1; ; i++) {
            try {
                return opening.open();
            } catch (IOException e) {
                if (i == BIND_ATTEMPTS) {
                    throw e;
                }
                LockSupport.parkNanos(BIND_PAUSE_NANOS);
            }
        }
    }

    static int free() throws IOException {
        for (int i = 0; i < PORTS; i++) {
            int candidate = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORTS;
            try (ServerSocket unused =
                    new ServerSocket(candidate, 1, InetAddress.getLoopbackAddress())) {
                return unused.getLocalPort();
            } catch (BindException e) {
                // somebody else's: the next one is tried
            }
        }
        throw new IOException("no port is free");
    }
}
