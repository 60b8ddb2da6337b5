package waytrestle.platform;

import java.net.InetAddress;
import java.net.Socket;
import java.util.Collections;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import waytrestle.http.HttpServer;
import waytrestle.platform.ClientFlood.Kind;

/**
 * Floods a controller with a small heap, in a process of its own, while a usual client asks for a
 * function that is served, and then shuts the controller down. By hand, with the test classes on
 * the class path: {@code ClientFloodPlay FIRST_SEED SEEDS REQUESTS} plays floods of all kinds.
 */
final class ClientFloodPlay {
    /** Enough for the classes of the program and a few megabytes of requests. */
    private static final String SMALL_HEAP = "-Xmx20m";

    private static final int CLIENTS = 24;
    private static final int USUAL_TIMEOUT_MILLIS = 5_000;
    private static final int USUAL_PAUSE_MILLIS = 20;
    private static final int NOT_LOGGED = -1;

    private final long seed;
    private final long requests;

    ClientFloodPlay(long seed, long requests) {
        this.seed = seed;
        this.requests = requests;
    }

    /**
     * What was seen.
     *
     * @param exit how the process ended: its exit code, or why there is none
     * @param answered requests of the usual client with a response
     * @param unanswered requests of the usual client without one
     * @param timers timers of the controller at its end, negative if it did not log their number
     * @param log what the controller has logged
     */
    record Result(String exit, int answered, int unanswered, int timers, String log) {
        /**
         * Returns whether the flood neither ended the process nor cost the usual client anything.
         */
        boolean survived() {
            return exit.equals("0") && answered > 0 && unanswered == 0 && timers >= 0;
        }

        /** All but the log. */
        String summary() {
            return "exit="
                    + exit
                    + " answered="
                    + answered
                    + " unanswered="
                    + unanswered
                    + " timers="
                    + timers;
        }
    }

    Result play(Kind... kinds) throws Exception {
        try (PlatformFixture fixture = new PlatformFixture();
                ControllerProcess controller = new SmallHeapController()) {
            fixture.invoker.setScript(ClientFloodPlay::serveKnownFunction);
            controller.start(fixture.configurationJson(fixture.watchServer)).awaitReady();
            UsualClient usual = new UsualClient(controller.port());
            new ClientFlood(controller.port(), controller::isAlive, requests)
                    .run(CLIENTS, seed, kinds);
            usual.stop();
            String exit = end(controller);
            return new Result(
                    exit,
                    usual.answered.get(),
                    usual.unanswered.get(),
                    loggedTimers(controller.log()),
                    controller.log());
        }
    }

    private static String end(ControllerProcess controller) throws InterruptedException {
        if (!controller.isAlive()) {
            return "by itself, " + controller.exitCode();
        }
        controller.terminate();
        return controller.awaitExit() ? Integer.toString(controller.exitCode()) : "none after TERM";
    }

    private static int loggedTimers(String log) {
        Matcher timers = Pattern.compile("controller\\.summary.*timers=(\\d+)").matcher(log);
        return timers.find() ? Integer.parseInt(timers.group(1)) : NOT_LOGGED;
    }

    /** Serves one function; a miss for any other one lets the controller try others at once. */
    private static void serveKnownFunction(HttpServer.Exchange exchange) {
        boolean known = exchange.message().target().contains(PlatformFixture.FUNCTION);
        ScriptedInvoker.respond(exchange, known ? 200 : 404, "done");
    }

    /** Plays several seeds, one after another, and prints what was seen. */
    public static void main(String[] args) throws Exception {
        long first = Long.parseLong(args[0]);
        int broken = 0;
        for (long seed = first; seed < first + Long.parseLong(args[1]); seed++) {
            Result result = new ClientFloodPlay(seed, Long.parseLong(args[2])).play(Kind.values());
            System.out.println("seed " + seed + ": " + result.summary());
            broken += result.survived() ? 0 : 1;
        }
        System.out.println(broken + " broken");
        System.exit(broken == 0 ? 0 : 1);
    }

    /** A controller whose heap a flood would fill in seconds. */
    private static final class SmallHeapController extends ControllerProcess {
        private SmallHeapController() throws Exception {}

        @Override
        void prepare(ProcessBuilder builder) {
            Collections.replaceAll(builder.command(), "-Xmx64m", SMALL_HEAP);
        }
    }

    /** A client that asks for a function that is served, some times a second. */
    private static final class UsualClient {
        private final AtomicInteger answered = new AtomicInteger();
        private final AtomicInteger unanswered = new AtomicInteger();
        private final AtomicBoolean stopped = new AtomicBoolean();
        private final int port;
        private final Thread thread = new Thread(this::run, "usual-client");

        private UsualClient(int port) {
            this.port = port;
            thread.setDaemon(true);
            thread.start();
        }

        private void run() {
            for (int number = 0; !stopped.get(); number++) {
                String message =
                        PlatformFixture.request(
                                "read", PlatformFixture.correlationId(number), "", "x");
                (isAnswered(message) ? answered : unanswered).incrementAndGet();
            }
        }

        private boolean isAnswered(String message) {
            try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
                connection.setSoTimeout(USUAL_TIMEOUT_MILLIS);
                PlatformFixture.write(connection, message);
                boolean complete = !PlatformFixture.readResponse(connection).isEmpty();
                Thread.sleep(USUAL_PAUSE_MILLIS);
                return complete;
            } catch (Exception e) {
                return false;
            }
        }

        private void stop() throws InterruptedException {
            stopped.set(true);
            thread.join();
        }
    }
}
