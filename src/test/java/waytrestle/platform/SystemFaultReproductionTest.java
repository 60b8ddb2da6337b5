package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import waytrestle.faults.DescriptorKind;
import waytrestle.faults.Errno;
import waytrestle.faults.FaultRule;
import waytrestle.faults.SystemCall;

/**
 * The incident of docs/incidents/system-faults.md: three controller processes whose system calls
 * are interrupted now and then, clients that send a request again when its connection ends.
 */
class SystemFaultReproductionTest {
    private static final int CONTROLLERS = 3;
    private static final int CLIENTS_EACH = 4;
    private static final int REQUESTS_EACH = 40;
    private static final int PERMILLE = 50;

    private final AtomicInteger lastId = new AtomicInteger();

    /** Every fault here is over with the call, so no connection may be closed for it. */
    @Test
    void anInterruptedReadOfAClientsConnectionRunsNoUnsafeRequestTwice() throws Exception {
        assertNoViolations(
                FaultRule.random(SystemCall.READ, DescriptorKind.ACCEPTED, Errno.EINTR, PERMILLE));
    }

    @Test
    void aReadOfAClientsConnectionThatTimesOutRunsNoUnsafeRequestTwice() throws Exception {
        assertNoViolations(
                FaultRule.random(
                        SystemCall.READ, DescriptorKind.ACCEPTED, Errno.ETIMEDOUT, PERMILLE));
    }

    @Test
    void aFailedWriteOfAResponseRunsNoUnsafeRequestTwice() throws Exception {
        assertNoViolations(
                FaultRule.random(
                        SystemCall.WRITE, DescriptorKind.ACCEPTED, Errno.ENOBUFS, PERMILLE));
    }

    private void assertNoViolations(FaultRule rule) throws Exception {
        try (PlatformFixture fixture = new PlatformFixture()) {
            RunRecorder recorder = new RunRecorder(fixture.invoker);
            recorder.workMillis(1, 20);
            List<FaultedController> controllers = new ArrayList<>();
            try {
                for (int i = 0; i < CONTROLLERS; i++) {
                    String configuration = fixture.configurationJson(fixture.watchServer);
                    controllers.add(new FaultedController(i + 1).start(configuration));
                }
                List<String> violations = play(controllers, recorder, rule);
                assertEquals(List.of(), violations);
            } finally {
                for (FaultedController controller : controllers) {
                    controller.close();
                }
            }
        }
    }

    private List<String> play(
            List<FaultedController> controllers, RunRecorder recorder, FaultRule rule)
            throws Exception {
        for (FaultedController controller : controllers) {
            controller.awaitReady();
            controller.plan().set(rule);
        }
        ExecutorService threads = Executors.newFixedThreadPool(CONTROLLERS * CLIENTS_EACH);
        List<Future<List<String>>> clients = new ArrayList<>();
        for (FaultedController controller : controllers) {
            for (int i = 0; i < CLIENTS_EACH; i++) {
                boolean keeps = i % 2 == 0;
                clients.add(threads.submit(() -> playClient(controller, recorder, keeps)));
            }
        }
        List<String> violations = new ArrayList<>();
        for (Future<List<String>> client : clients) {
            violations.addAll(client.get());
        }
        threads.shutdown();
        int hits = controllers.stream().mapToInt(each -> each.plan().hits()).sum();
        assertTrue(hits > 0, "no system call failed");
        return violations;
    }

    private List<String> playClient(
            FaultedController controller, RunRecorder recorder, boolean keepsConnection)
            throws Exception {
        List<RepeatingClient.SentRequest> sent = new ArrayList<>();
        try (RepeatingClient client = new RepeatingClient(controller.port(), keepsConnection)) {
            for (int i = 0; i < REQUESTS_EACH; i++) {
                String id = PlatformFixture.correlationId(lastId.incrementAndGet());
                sent.add(client.send(i % 2 == 0 ? "book" : "read", id));
            }
        }
        List<String> violations = new ArrayList<>();
        for (RepeatingClient.SentRequest request : sent) {
            violations.addAll(RequestInvariants.violations(request, recorder.runs(request.id())));
            if (RequestInvariants.wasCut(request)) {
                violations.add("cut: its connection was closed under it (" + request + ")");
            }
        }
        return violations;
    }
}
