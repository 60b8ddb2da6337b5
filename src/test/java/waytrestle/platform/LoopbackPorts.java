package waytrestle.platform;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/**
 * Ports on loopback that nobody listens at and no other test was given, in this process or in
 * another: a process takes them in blocks, each claimed by listening at its first port. They lie
 * below the range from which the kernel gives outgoing connections theirs: one of these could take
 * a port before its listener does, or between two listeners.
 *
 * <p>Without the claims two soaks at a time gave one port to two controllers, and a controller
 * whose watch had moved out of reach found another soak's watch server there.
 */
final class LoopbackPorts {
    private static final int FIRST_PORT = 20_000;
    private static final int BLOCK_PORTS = 250;
    private static final int BLOCKS = 48;

    /** Listeners at the first ports of this process's blocks, open until it ends. */
    private static final List<ServerSocket> CLAIMS = new ArrayList<>();

    private static int nextBlock;
    private static int nextPort;
    private static int endOfBlock;

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

    static synchronized int free() throws IOException {
        while (true) {
            if (nextPort == endOfBlock) {
                claimBlock();
            }
            int candidate = nextPort;
            nextPort++;
            try (ServerSocket unused = listenAt(candidate)) {
                return unused.getLocalPort();
            } catch (BindException e) {
                // somebody else's: the next one is tried
            }
        }
    }

    /** Once no block is left, this process's own are used again. */
    private static void claimBlock() throws IOException {
        for (; nextBlock < BLOCKS; nextBlock++) {
            int first = FIRST_PORT + nextBlock * BLOCK_PORTS;
            try {
                CLAIMS.add(listenAt(first));
                useBlock(first);
                nextBlock++;
                return;
            } catch (BindException e) {
                // another process's block
            }
        }
        if (CLAIMS.isEmpty()) {
            throw new IOException("no port is free");
        }
        ServerSocket oldest = CLAIMS.remove(0);
        CLAIMS.add(oldest);
        useBlock(oldest.getLocalPort());
    }

    private static void useBlock(int first) {
        nextPort = first + 1;
        endOfBlock = first + BLOCK_PORTS;
    }

    private static ServerSocket listenAt(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
    }
}
