package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import waytrestle.faults.DescriptorKind;
import waytrestle.faults.Errno;
import waytrestle.faults.FaultRule;
import waytrestle.faults.SystemCall;
import waytrestle.platform.RepeatingClient.SentRequest;

/**
 * System calls fail while a controller shuts down: what it has taken is answered once, requests on
 * open connections still are, and it ends by itself before it would be killed.
 */
class FaultShutdownTest {
    private static final int AT_ONCE = 4;
    private static final int CLIENTS = 6;
    private static final long SENDS_AFTER_TERM_MILLIS = 500;
    private static final long KILL_AFTER_TERM_MILLIS = 3_700;
    private static final int OFTEN_PERMILLE = 300;

    private final AtomicInteger lastId = new AtomicInteger();
    private final List<String> violations = Collections.synchronizedList(new ArrayList<>());

    private static List<FaultRule> rules() {
        List<FaultRule> rules = new ArrayList<>();
        for (Errno error : List.of(Errno.EINTR, Errno.ENOBUFS, Errno.ETIMEDOUT)) {
            for (SystemCall call : List.of(SystemCall.READ, SystemCall.WRITE)) {
                rules.add(often(call, DescriptorKind.ACCEPTED, error));
                rules.add(often(call, DescriptorKind.CONNECTED, error));
            }
        }
        rules.add(often(SystemCall.ACCEPT, DescriptorKind.LISTENING, Errno.EINTR));
        rules.add(often(SystemCall.ACCEPT, DescriptorKind.LISTENING, Errno.EMFILE));
        rules.add(often(SystemCall.EPOLL_WAIT, DescriptorKind.ANY, Errno.ENOMEM));
        rules.add(often(SystemCall.EPOLL_CTL, DescriptorKind.ACCEPTED, Errno.ENOMEM));
        rules.add(often(SystemCall.SETSOCKOPT, DescriptorKind.ANY, Errno.ENOBUFS));
        rules.add(often(SystemCall.CLOSE, DescriptorKind.ANY, Errno.EIO));
        return rules;
    }

    private static FaultRule often(SystemCall call, DescriptorKind kind, Errno error) {
        return FaultRule.random(call, kind, error, OFTEN_PERMILLE);
    }

    @Test
    void whatWasTakenIsAnsweredOnce() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(AT_ONCE);
        List<Future<?>> plays = new ArrayList<>();
        for (FaultRule rule : rules()) {
            plays.add(threads.submit(() -> shutDownUnder(rule)));
        }
        for (Future<?> play : plays) {
            play.get();
        }
        threads.shutdown();
        assertEquals("", String.join("\n", violations));
    }

    private Void shutDownUnder(FaultRule rule) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
        try (PlatformFixture fixture = new PlatformFixture();
                FaultedController controller = new FaultedController(1)) {
            RunRecorder recorder = new RunRecorder(fixture.invoker);
            recorder.workMillis(1, 300);
            controller.start(fixture.configurationJson(fixture.watchServer)).awaitReady();
            List<Future<?>> clients = new ArrayList<>();
            AtomicLong lastSend = new AtomicLong(Long.MAX_VALUE);
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(threads.submit(() -> sendUntil(lastSend, controller, recorder, rule)));
            }
            Thread.sleep(200);
            controller.plan().set(rule);
            controller.terminate();
            long terminated = System.nanoTime() / 1_000_000;
            lastSend.set(terminated + SENDS_AFTER_TERM_MILLIS);
            for (Future<?> client : clients) {
                client.get();
            }
            while (controller.isAlive()) {
                if (System.nanoTime() / 1_000_000 > terminated + KILL_AFTER_TERM_MILLIS) {
                    violations.add("it would have been killed, with " + rule);
                    break;
                }
                Thread.sleep(5);
            }
            if (!controller.isAlive() && controller.exitCode() != 0) {
                violations.add("exit code " + controller.exitCode() + ", with " + rule);
            }
        } finally {
            threads.shutdownNow();
        }
        return null;
    }

    /** On a connection that is kept for as long as the controller lets it. */
    private Void sendUntil(
            AtomicLong lastSend, FaultedController controller, RunRecorder recorder, FaultRule rule)
            throws Exception {
        try (RepeatingClient client = new RepeatingClient(controller.port(), true)) {
            while (System.nanoTime() / 1_000_000 < lastSend.get()) {
                int number = lastId.incrementAndGet();
                String requestClass = number % 3 == 0 ? "read" : "book";
                SentRequest request =
                        client.send(requestClass, PlatformFixture.correlationId(number));
                if (request.results().get(0) == RepeatingClient.REFUSED) {
                    return null;
                }
                List<String> found =
                        RequestInvariants.violations(request, recorder.runs(request.id()));
                if (RequestInvariants.wasCut(request)) {
                    found.add("cut: " + request);
                }
                found.forEach(violation -> violations.add(violation + " with " + rule));
            }
        }
        return null;
    }
}
