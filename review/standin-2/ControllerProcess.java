import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** A controller, started with the command {@code run} of the deploy file. */
final class ControllerProcess {
    final String name;
    final Path folder;
    final InetSocketAddress address;
    private final Path root;
    private Process process;

    /** The core that the controller runs on, -1 for all of them. */
    int core = -1;

    /** The share of a core, as the configuration tells it. */
    double cores = 1.0;

    ControllerProcess(String name, Path root, Path folder) throws IOException {
        this.name = name;
        this.root = root;
        this.folder = Files.createDirectories(folder);
        this.address = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), freePort());
    }

    static int freePort() throws IOException {
        try (ServerSocket socket =
                new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    Path configFile() {
        return folder.resolve("config.json");
    }

    Path log() {
        return folder.resolve("log.txt");
    }

    void writeConfig(String board, String known, String settings, int sockets) throws IOException {
        String listen = "127.0.0.1:" + address.getPort();
        String json =
                "{\"name\":\"" + name + "\",\"listen\":\"" + listen
                        + "\",\"seed\":\"" + seed() + "\",\"limits\":{\"cores\":" + cores
                        + ",\"memory_mb\":192,\"sockets\":" + sockets + "},\"board\":\"" + board
                        + "\",\"known\":" + known + ",\"settings\":" + settings + "}";
        Path next = folder.resolve("config.new");
        Files.writeString(next, json);
        Files.move(next, configFile(), java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** The seed of the controller's random numbers, the same in every run. */
    private String seed() {
        return String.format("%016x", 0x8c1f30d27a5be964L + name.hashCode());
    }

    private String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("the deploy file has no run command");
    }

    void start() throws IOException {
        ProcessBuilder builder =
                core < 0
                        ? new ProcessBuilder("/bin/sh", "-c", runCommand())
                        : new ProcessBuilder(
                                "taskset", "-c", "" + core, "/bin/sh", "-c", runCommand());
        builder.directory(root.toFile());
        builder.environment().put("BALANCER_NAME", name);
        builder.environment().put("BALANCER_LISTEN", "127.0.0.1:" + address.getPort());
        builder.environment().put("BALANCER_CONFIG", configFile().toString());
        File log = log().toFile();
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
    }

    /** Waits until {@code GET /check} is answered with 200. */
    void awaitReady() throws IOException, InterruptedException {
        long until = System.currentTimeMillis() + 30_000;
        byte[] check =
                "GET /check HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n".getBytes();
        while (System.currentTimeMillis() < until) {
            try (Client client = new Client(address)) {
                if (client.call(check, 1_000).status == 200) {
                    return;
                }
            }
            if (!process.isAlive()) {
                throw new IOException("the controller ended before it was ready");
            }
            Thread.sleep(50);
        }
        throw new IOException("the controller was not ready in 30 s");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    long pid() {
        return process.pid();
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }
}
