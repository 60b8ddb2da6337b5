import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** A controller, started by the command run of deploy/balancer.toml with /bin/sh -c. */
final class ControllerRun implements AutoCloseable {
    private static final Path ROOT = Path.of(System.getProperty("root"));

    final Path folder;
    final String name;
    final int port;
    final Path config;
    private final Path log;
    private Process process;

    ControllerRun(Path folder, String name) throws IOException {
        this.folder = folder;
        this.name = name;
        this.port = freePort();
        this.config = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return probe.getLocalPort();
        }
    }

    /** Writes the configuration by a rename, so that it is never half written. */
    void writeConfig(Board board, String settings, int sockets, String known) throws IOException {
        String text =
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                        + "\"memory_mb\":192,\"sockets\":" + sockets + "},\"board\":\""
                        + board.address() + "\",\"known\":" + known
                        + ",\"settings\":" + settings + "}";
        Path fresh = folder.resolve(name + ".json.new");
        Files.writeString(fresh, text);
        Files.move(fresh, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    private static String command() throws IOException {
        for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    void start() throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", command())
                        .directory(ROOT.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("BALANCER_NAME", name);
        builder.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /** Waits until GET /check says 200. */
    boolean awaitReady(long millis) throws InterruptedException {
        long until = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < until && process.isAlive()) {
            try {
                HttpURLConnection check =
                        (HttpURLConnection)
                                new URL("http://127.0.0.1:" + port + "/check").openConnection();
                check.setConnectTimeout(500);
                check.setReadTimeout(500);
                int status = check.getResponseCode();
                check.disconnect();
                if (status == 200) {
                    return true;
                }
            } catch (IOException e) {
                // not up yet
            }
            Thread.sleep(50);
        }
        return false;
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Resident memory in MB, 0 if unknown. */
    long residentMb() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
                }
            }
        } catch (IOException e) {
            return 0;
        }
        return 0;
    }

    /** The last lines of the controller's log. */
    java.util.List<String> logTail(int lines) throws IOException {
        java.util.List<String> all = Files.exists(log) ? Files.readAllLines(log) : java.util.List.of();
        return all.subList(Math.max(0, all.size() - lines), all.size());
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Settings like those of colombo-main: three classes, one that must never run twice. */
    static String settings(int controllers) {
        return String.format(Locale.ROOT, """
                {"azs":["hall-a","hall-b"],"balancers":%d,"clients":{"marks_retry":true},
                "discovery":"automatic","domain":{"free_loads":0.0,"idle_memory_cost":0.1,
                "keep_alive_us":10000000,"load_period_us":0,"load_ratio":0.0,
                "load_wait_us":10000000,"memory_mb_by_kind":[71680.0],"not_loaded":"miss",
                "placement_calls":true,"says_company":true,"says_warm":false},
                "lanes":[{"aim_us":600000,"deadline_us":5000000,"group":"all",
                "idempotency":"read_like","late_worth":0.3,"name":"free-slots","streamed":false,
                "value":2.0,"window_us":5000000},{"aim_us":1200000,"deadline_us":5000000,
                "group":"all","idempotency":"read_like","late_worth":0.2,"name":"slot-suggest",
                "streamed":false,"value":3.0,"window_us":5000000},{"aim_us":600000,
                "deadline_us":5000000,"group":"all","idempotency":"non_idempotent",
                "late_worth":0.3,"name":"book-slot","streamed":false,"value":3.0,
                "window_us":5000000}],"layers":["slot-workers"],"limits":{"cancel":true,
                "connect_timeout_us":250000,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,
                "idle_close_us":15000000,"max_attempts":5,"max_open":20000,
                "max_retry_after_us":2000000,"may_probe":true,"peer_messages":false,
                "retry_after":true,"second_copies":false,"streams_per_conn":100},"me":0,
                "objective_mix":{"whole":0.5,"worst_class":0.2,"worst_tenant":0.0,
                "worst_window":0.3},"over_share_worth":0.1,"prices":{"connection":0.0,
                "cross_zone":0.01,"discovery":0.0,"handshake":0.0,"late_fail":0.03,"moves":0.0,
                "origin":0.1,"peer":0.01,"probe":0.01,"waste":0.08},"report":{"how":"probe",
                "names":["queue","x0","x1"]},"rules":{"answer_slack_us":16000,
                "ask_every_us":10000000,"cold_from":0.15,"drain_grace_us":1000000,
                "fall_multiple":2.0,"overload_for_us":3000000,"warm_after_us":18000000},
                "shapes":["std-4core"],"tenants":[],"tick_us":2000,"tier":0,
                "weight_kind":"nominal","workload":"warm","worth_by":"request","zone":0}
                """, controllers).replace("\n", "");
    }
}
