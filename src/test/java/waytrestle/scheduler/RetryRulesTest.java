package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.allOf;
import static waytrestle.scheduler.SchedulerFixture.onlyOne;
import static waytrestle.scheduler.SchedulerFixture.ready;

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
    void attemptsProvedNotToHaveRunMoveOnForEveryIdempotency(ResponseCode code) {
        for (Idempotency idempotency : Idempotency.values()) {
            SchedulerFixture scheduler = new SchedulerFixture();
            scheduler.idempotency = idempotency;
            scheduler.start(ready("a"), ready("b"));
            String to = onlyOne(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
            assertNotEquals(
                    to,
                    onlyOne(
                                    scheduler.completed(1, 0, to, code, StartKind.UNKNOWN, 1_000),
                                    ForwardAttempt.class)
                            .invoker());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = ResponseCode.class,
            names = {"ERROR", "RESET", "TIMEOUT", "CANCELLED"})
    void attemptsThatMayHaveRunAreNeverRetriedForNonIdempotentRequests(ResponseCode code) {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.idempotency = Idempotency.NON_IDEMPOTENT;
        scheduler.start(ready("a"), ready("b"));
        String to = onlyOne(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
        List<SchedulerCommand> commands =
                scheduler.completed(1, 0, to, code, StartKind.UNKNOWN, 1_000);
        assertEquals(1, allOf(commands, FailRequest.class).size());
        assertTrue(
                allOf(commands, ForwardAttempt.class).isEmpty()
                        && allOf(commands, RejectRequest.class).isEmpty());
    }

    @Test
    void retriesWithAnIdempotencyKeyStayInTheCellAndWindow() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.idempotency = Idempotency.KEYED;
        scheduler.start(
                new InvokerEndpoint("a", 0, 1, 0, EndpointState.READY, 1, 0),
                new InvokerEndpoint("b", 0, 2, 0, EndpointState.READY, 1, 0),
                new InvokerEndpoint("c", 0, 1, 0, EndpointState.READY, 1, 0),
                new InvokerEndpoint("d", 0, 2, 0, EndpointState.READY, 1, 0));
        Map<String, String> mate = Map.of("a", "c", "c", "a", "b", "d", "d", "b");
        String to = onlyOne(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
        assertEquals(
                mate.get(to),
                onlyOne(
                                scheduler.completed(
                                        1, 0, to, ResponseCode.ERROR, StartKind.UNKNOWN, 1_000),
                                ForwardAttempt.class)
                        .invoker());
        String late =
                onlyOne(scheduler.request(2, "g", 5_000_000, 0), ForwardAttempt.class).invoker();
        scheduler.now += 3_000_000;
        List<SchedulerCommand> commands =
                scheduler.completed(2, 0, late, ResponseCode.ERROR, StartKind.UNKNOWN, 3_000_000);
        assertEquals(
                1,
                allOf(commands, FailRequest.class).size(),
                "the cell no longer deduplicates, and it may have run");
    }
}
