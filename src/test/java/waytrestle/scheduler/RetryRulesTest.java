package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.commandsOfType;
import static waytrestle.scheduler.SchedulerFixture.onlyCommand;
import static waytrestle.scheduler.SchedulerFixture.readyInvoker;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import waytrestle.scheduler.SchedulerCommand.FailRequest;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.RejectRequest;

/** When a request may be sent again or rejected. */
class RetryRulesTest {
    @ParameterizedTest
    @EnumSource(
            value = ResponseCode.class,
            names = {"FULL", "CONNECT_FAILED"})
    void attemptThatProvablyNeverRanIsRetriedElsewhereForEveryIdempotency(ResponseCode code) {
        for (Idempotency idempotency : Idempotency.values()) {
            SchedulerFixture scheduler = new SchedulerFixture();
            scheduler.idempotency = idempotency;
            scheduler.start(readyInvoker("a"), readyInvoker("b"));
            String target = onlyCommand(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
            assertNotEquals(
                    target,
                    onlyCommand(
                                    scheduler.completeAttempt(
                                            1, 0, target, code, StartKind.UNKNOWN, 1_000),
                                    ForwardAttempt.class)
                            .invoker());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = ResponseCode.class,
            names = {"ERROR", "RESET", "TIMEOUT", "CANCELLED"})
    void nonIdempotentRequestFailsAfterAnAttemptThatMayHaveRun(ResponseCode code) {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.idempotency = Idempotency.NON_IDEMPOTENT;
        scheduler.start(readyInvoker("a"), readyInvoker("b"));
        String target = onlyCommand(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
        List<SchedulerCommand> commands =
                scheduler.completeAttempt(1, 0, target, code, StartKind.UNKNOWN, 1_000);
        assertEquals(1, commandsOfType(commands, FailRequest.class).size());
        assertTrue(
                commandsOfType(commands, ForwardAttempt.class).isEmpty()
                        && commandsOfType(commands, RejectRequest.class).isEmpty());
    }

    @Test
    void keyedRequestIsRetriedInItsCellAndFailsAfterTheDeduplicationWindow() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.idempotency = Idempotency.KEYED;
        scheduler.start(
                new InvokerEndpoint("a", 0, 1, 0, EndpointState.READY, 1, 0),
                new InvokerEndpoint("b", 0, 2, 0, EndpointState.READY, 1, 0),
                new InvokerEndpoint("c", 0, 1, 0, EndpointState.READY, 1, 0),
                new InvokerEndpoint("d", 0, 2, 0, EndpointState.READY, 1, 0));
        Map<String, String> otherOfCell = Map.of("a", "c", "c", "a", "b", "d", "d", "b");
        String target = onlyCommand(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
        assertEquals(
                otherOfCell.get(target),
                onlyCommand(
                                scheduler.completeAttempt(
                                        1, 0, target, ResponseCode.ERROR, StartKind.UNKNOWN, 1_000),
                                ForwardAttempt.class)
                        .invoker());
        String secondTarget =
                onlyCommand(scheduler.request(2, "g", 5_000_000, 0), ForwardAttempt.class)
                        .invoker();
        scheduler.now += 3_000_000;
        List<SchedulerCommand> commands =
                scheduler.completeAttempt(
                        2, 0, secondTarget, ResponseCode.ERROR, StartKind.UNKNOWN, 3_000_000);
        assertEquals(
                1,
                commandsOfType(commands, FailRequest.class).size(),
                "the request may have run, and its deduplication window is over");
    }
}
