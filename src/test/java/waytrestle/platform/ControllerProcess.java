package waytrestle.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** A controller in a process of its own, configured by a file and ended by signals. */
class ControllerProcess implements AutoCloseable {
    private static final long EXIT_SECONDS = 15;
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private static final String READINESS_CHECK =
            "GET /check HTTP/1.1\r\nHost: api\r\nConnection: close\r\n\r\n";

    private final Path configuration = Files.createTempFile("platform", ".json");
    private final Path log = Files.createTempFile("platform", ".log");
    private final int port = LoopbackPorts.free();
    private Process process;

    ControllerProcess() throws IOException {}

    /** Prepares the process that is to be started. */
    void prepare(ProcessBuilder builder) throws Exception {
        // nothing but the command and the configuration
    }

    /** Starts it by a configuration's text, in which the port to listen at is filled in. */
    ControllerProcess start(String configurationJson) throws Exception {
        writeConfiguration(configurationJson);
        ProcessBuilder builder =
                new ProcessBuilder(
                                "java",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-XX:-UsePerfData",
                                "-Xss512k",
                                "-Xmx64m",
                                "-XX:MaxDirectMemorySize=16m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "waytrestle.Main",
                                "platform")
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile());
        builder.environment().put("BALANCER_CONFIG", configuration.toString());
        prepare(builder);
        process = builder.start();
        return this;
    }

    /** Writes its configuration file, which it reads at its start and at HUP. */
    void writeConfiguration(String configurationJson) throws IOException {
        Files.writeString(
                configuration,
                configurationJson.replace(
                        "\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\""));
    }

    /** Sends SIGHUP. */
    void reload() throws Exception {
        signal("HUP");
    }

    /** Stops it where it is, as a machine does that is short of processor time. */
    void suspend() throws Exception {
        signal("STOP");
    }

    /** Lets it go on. */
    void resume() throws Exception {
        signal("CONT");
    }

    private void signal(String name) throws Exception {
        String pid = Long.toString(process.pid());
        new ProcessBuilder("kill", "-" + name, pid).inheritIO().start().waitFor();
    }

    /** Waits, as clients do, until it is ready. */
    ControllerProcess awaitReady() throws InterruptedException {
        PlatformFixture.awaitCondition(this::isReady, "it never became ready:\n" + log());
        return this;
    }

    private boolean isReady() {
        try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
            connection.setSoTimeout(READ_TIMEOUT_MILLIS);
            PlatformFixture.write(connection, READINESS_CHECK);
            return PlatformFixture.readResponse(connection).startsWith("HTTP/1.1 200 ");
        } catch (Exception e) {
            return false;
        }
    }

    int port() {
        return port;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Kills it at once, as SIGKILL does. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Waits for its end; whether it came in time. */
    boolean awaitExit() throws InterruptedException {
        return process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS);
    }

    int exitCode() {
        return process.exitValue();
    }

    /** What it has logged so far. */
    String log() {
        try {
            return Files.readString(log, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws Exception {
        if (process != null) {
            kill();
        }
        Files.deleteIfExists(configuration);
        Files.deleteIfExists(log);
    }
}
