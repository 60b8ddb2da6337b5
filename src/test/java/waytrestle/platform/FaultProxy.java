package waytrestle.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A TCP proxy on loopback before one invoker that disturbs some connections: it resets them when
 * they are new, under a request or within a response, ends a response short, holds bytes back, or
 * swallows a response.
 */
final class FaultProxy implements AutoCloseable {
    private enum Disturbance {
        NONE,
        RESET_WHEN_NEW,
        RESET_UNDER_REQUEST,
        RESET_IN_RESPONSE,
        END_RESPONSE_SHORT,
        DELAY,
        SWALLOW_RESPONSE
    }

    private static final int BACKLOG = 256;
    private static final int BUFFER_BYTES = 4_096;
    private static final int SHORT_BYTES = 20;
    private static final int PERCENT = 100;
    private static final int MAX_DELAY_MILLIS = 200;
    private static final long END_SECONDS = 5;

    private final ServerSocket listener =
            new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final int invokerPort;
    private final int disturbedPercent;
    private final Random random;

    /** Forwards to an invoker; so many connections in a hundred are disturbed. */
    FaultProxy(int invokerPort, int disturbedPercent, long seed) throws IOException {
        this.invokerPort = invokerPort;
        this.disturbedPercent = disturbedPercent;
        this.random = new Random(seed);
        threads.execute(this::acceptConnections);
    }

    int port() {
        return listener.getLocalPort();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket client = listener.accept();
                open.add(client);
                Disturbance disturbance = nextDisturbance();
                threads.execute(() -> serve(client, disturbance));
            }
        } catch (IOException e) {
            // closed by its test
        }
    }

    private Disturbance nextDisturbance() {
        if (random.nextInt(PERCENT) >= disturbedPercent) {
            return Disturbance.NONE;
        }
        Disturbance[] all = Disturbance.values();
        return all[1 + random.nextInt(all.length - 1)];
    }

    private void serve(Socket client, Disturbance disturbance) {
        try {
            if (disturbance == Disturbance.RESET_WHEN_NEW) {
                reset(client);
                return;
            }
            Socket invoker = new Socket(InetAddress.getLoopbackAddress(), invokerPort);
            open.add(invoker);
            threads.execute(() -> forwardRequests(client, invoker, disturbance));
            forwardResponses(invoker, client, disturbance);
        } catch (IOException e) {
            close(client);
        }
    }

    private void forwardRequests(Socket client, Socket invoker, Disturbance disturbance) {
        try {
            byte[] buffer = new byte[BUFFER_BYTES];
            InputStream in = client.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (disturbance == Disturbance.DELAY) {
                    Thread.sleep(count % MAX_DELAY_MILLIS);
                }
                invoker.getOutputStream().write(buffer, 0, count);
                if (disturbance == Disturbance.RESET_UNDER_REQUEST) {
                    reset(client);
                    break;
                }
            }
        } catch (IOException | InterruptedException e) {
            // either side has gone
        }
        close(invoker);
    }

    private void forwardResponses(Socket invoker, Socket client, Disturbance disturbance)
            throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        InputStream in = invoker.getInputStream();
        OutputStream out = client.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
            switch (disturbance) {
                case RESET_IN_RESPONSE -> {
                    out.write(buffer, 0, Math.min(SHORT_BYTES, count));
                    reset(client);
                }
                case END_RESPONSE_SHORT -> {
                    out.write(buffer, 0, Math.min(SHORT_BYTES, count));
                    close(client);
                }
                case SWALLOW_RESPONSE -> {}
                default -> out.write(buffer, 0, count);
            }
        }
        close(client);
    }

    private void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        close(socket);
    }

    private void close(Socket socket) {
        open.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // it is gone either way
        }
    }

    @Override
    public void close() throws Exception {
        listener.close();
        open.forEach(this::close);
        threads.shutdownNow();
        threads.awaitTermination(END_SECONDS, TimeUnit.SECONDS);
    }
}
