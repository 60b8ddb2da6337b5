package waytrestle.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.StringJoiner;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.tomlj.Toml;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;

/**
 * Measures what one controller needs in a fleet of a given size: CPU time, memory, descriptors,
 * connections and the share of the requests that is served. The traffic of the controller is the
 * same for each size. By hand, with the test classes on the class path, from the project's root:
 * {@code FleetSizeMeasurement JAR INVOKERS SECONDS REQUESTS_PER_SECOND SEED}. Linux only: reads
 * {@code /proc}.
 */
final class FleetSizeMeasurement implements AutoCloseable {
    private static final int FUNCTIONS = 40;
    private static final double ZIPF_EXPONENT = 1.3;
    private static final int INVOKERS_PER_CONTROLLER = 2;
    private static final int CLIENTS = 64;
    private static final long MIN_RUN_MICROS = 60_000;
    private static final long MAX_RUN_MICROS = 180_000;
    private static final long LOAD_MICROS = 400_000;
    private static final int CLIENT_TIMEOUT_MILLIS = 4_000;
    private static final long SAMPLE_MILLIS = 250;
    private static final long LOOP_END_MILLIS = 5_000;
    private static final int TICKS_PER_SECOND = 100;
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;

    private final Loop loop;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger nextRequest = new AtomicInteger();
    private final SplittableRandom runTimes;
    private final double[] popularity = new double[FUNCTIONS];

    private FleetSizeMeasurement(long seed) throws IOException {
        loop = new Loop("invokers", Throwable::printStackTrace).start();
        runTimes = new SplittableRandom(seed);
        double sum = 0;
        for (int i = 0; i < FUNCTIONS; i++) {
            sum += Math.pow(i + 2.0, -ZIPF_EXPONENT);
            popularity[i] = sum;
        }
        for (int i = 0; i < FUNCTIONS; i++) {
            popularity[i] /= sum;
        }
    }

    /** What the controller's process has used so far. */
    private record Usage(double cpuSeconds, long peakKilobytes, int descriptors) {
        static Usage of(long pid) throws IOException {
            Path process = Path.of("/proc/" + pid);
            String stat = Files.readString(process.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long ticks =
                    Long.parseLong(fields[USER_TICKS_FIELD])
                            + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
            long peak = 0;
            for (String line : Files.readAllLines(process.resolve("status"))) {
                if (line.startsWith("VmHWM:")) {
                    peak = Long.parseLong(line.replaceAll("\\D", ""));
                }
            }
            try (Stream<Path> open = Files.list(process.resolve("fd"))) {
                return new Usage(ticks / (double) TICKS_PER_SECOND, peak, (int) open.count());
            }
        }
    }

    private String openInvokers(int count) throws IOException {
        StringJoiner endpoints = new StringJoiner(",");
        for (int i = 0; i < count; i++) {
            Invoker invoker = new Invoker();
            InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            HttpServer server =
                    new HttpServer(loop, any, HttpLimits.DEFAULT, CLIENTS, invoker::handle);
            endpoints.add(PlatformFixture.endpointJson("s-" + i, "Ready", server.port()));
        }
        return endpoints.toString();
    }

    /** An invoker that loads a function when it is told to and misses it before. */
    private final class Invoker {
        private final Set<String> loaded = new HashSet<>();
        private boolean seen;

        private void handle(HttpServer.Exchange exchange) {
            if (!seen) {
                seen = true;
                connections.incrementAndGet();
            }
            String[] parts = exchange.message().target().split("/");
            if (exchange.message().method().equals("PUT")) {
                String function = parts[parts.length - 2];
                loop.after(LOAD_MICROS, () -> completeLoad(exchange, function));
            } else if (!loaded.contains(String.valueOf(exchange.message().header("x-name")))) {
                ScriptedInvoker.respond(exchange, 404, "");
            } else {
                long micros = runTimes.nextLong(MIN_RUN_MICROS, MAX_RUN_MICROS);
                loop.after(micros, () -> respondIfOpen(exchange));
            }
        }

        private void completeLoad(HttpServer.Exchange exchange, String function) {
            loaded.add(function);
            if (exchange.isOpen()) {
                ScriptedInvoker.respond(exchange, 200, "", "X-Units", "1");
            }
        }

        private void respondIfOpen(HttpServer.Exchange exchange) {
            if (exchange.isOpen()) {
                ScriptedInvoker.respond(exchange, 200, "done");
            }
        }
    }

    private void runClient(int port, long seed, long beginNanos, int rate, int total) {
        SplittableRandom draw = new SplittableRandom(seed);
        try {
            Socket socket = null;
            for (int number = nextRequest.getAndIncrement();
                    number < total;
                    number = nextRequest.getAndIncrement()) {
                long dueNanos = beginNanos + number * 1_000_000_000L / rate;
                Thread.sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
                socket =
                        socket == null
                                ? new Socket(InetAddress.getLoopbackAddress(), port)
                                : socket;
                socket.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
                socket = call(socket, number, draw.nextDouble());
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends one request; returns the connection if it can be used again. */
    private Socket call(Socket socket, int number, double drawn) throws IOException {
        int function = 0;
        while (function < FUNCTIONS - 1 && popularity[function] < drawn) {
            function++;
        }
        String request =
                PlatformFixture.request("read", PlatformFixture.correlationId(number), "", "x")
                        .replace(
                                PlatformFixture.FUNCTION,
                                "%016x".formatted(0x7c55d20aL + function));
        try {
            PlatformFixture.write(socket, request);
            String response = PlatformFixture.readResponse(socket);
            answered.incrementAndGet();
            if (response.startsWith("HTTP/1.1 200 ")) {
                served.incrementAndGet();
            }
            return socket;
        } catch (Exception e) {
            unanswered.incrementAndGet();
            socket.close();
            return null;
        }
    }

    private String measure(String jar, int invokers, int seconds, int rate, long seed)
            throws Exception {
        WatchServer watchServer = new WatchServer();
        String known =
                "{\"rev\":1,\"pool\":{\"seq\":0,\"whole\":true,\"hosts\":["
                        + openInvokers(invokers)
                        + "]}}";
        int port = LoopbackPorts.free();
        String configuration =
                PlatformFixture.configurationJson("1024", watchServer.port(), known)
                        .replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"")
                        .replace(
                                "\"balancers\":1,",
                                "\"balancers\":" + invokers / INVOKERS_PER_CONTROLLER + ",");
        Path file = Files.createTempFile("fleet", ".json");
        Files.writeString(file, configuration);
        Process process = start(jar, file);
        try {
            PlatformFixture.awaitCondition(() -> isReady(port), "it never became ready");
            Usage atStart = Usage.of(process.pid());
            int total = seconds * rate;
            Thread[] clients = new Thread[CLIENTS];
            long begin = System.nanoTime();
            for (int i = 0; i < CLIENTS; i++) {
                long clientSeed = seed + i;
                clients[i] =
                        new Thread(() -> runClient(port, clientSeed, begin, rate, total), "client");
                clients[i].start();
            }
            int mostDescriptors = 0;
            Usage usage = atStart;
            while (Stream.of(clients).anyMatch(Thread::isAlive)) {
                Thread.sleep(SAMPLE_MILLIS);
                usage = Usage.of(process.pid());
                mostDescriptors = Math.max(mostDescriptors, usage.descriptors());
            }
            return "invokers=%d requests=%d served=%d answered=%d unanswered=%d cpu_s=%.2f cpu_start_s=%.2f peak_mb=%.1f descriptors=%d invokers_used=%d"
                    .formatted(
                            invokers,
                            total,
                            served.get(),
                            answered.get(),
                            unanswered.get(),
                            usage.cpuSeconds(),
                            atStart.cpuSeconds(),
                            usage.peakKilobytes() / 1024.0,
                            mostDescriptors,
                            connections.get());
        } finally {
            process.destroyForcibly().waitFor();
            watchServer.close();
            Files.delete(file);
        }
    }

    private static Process start(String jar, Path configuration) throws IOException {
        String run =
                Toml.parse(Path.of("deploy/balancer.toml"))
                        .getString("run")
                        .replace("target/waytrestle.jar", jar);
        ProcessBuilder builder = new ProcessBuilder(List.of("/bin/sh", "-c", run));
        builder.environment().put("BALANCER_CONFIG", configuration.toString());
        return builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static boolean isReady(int port) {
        try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
            PlatformFixture.write(
                    connection, "GET /check HTTP/1.1\r\nHost: api\r\nConnection: close\r\n\r\n");
            return PlatformFixture.readResponse(connection).startsWith("HTTP/1.1 200 ");
        } catch (Exception e) {
            return false;
        }
    }

    /** Measures once and prints the figures. */
    public static void main(String[] args) throws Exception {
        long seed = Long.parseLong(args[4]);
        try (FleetSizeMeasurement measurement = new FleetSizeMeasurement(seed)) {
            System.out.println(
                    measurement.measure(
                            args[0],
                            Integer.parseInt(args[1]),
                            Integer.parseInt(args[2]),
                            Integer.parseInt(args[3]),
                            seed));
        }
    }

    @Override
    public void close() throws Exception {
        loop.stop();
        loop.join(LOOP_END_MILLIS);
    }
}
