package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.allOf;
import static waytrestle.scheduler.SchedulerFixture.onlyOne;
import static waytrestle.scheduler.SchedulerFixture.ready;

import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.SetTimer;
import waytrestle.scheduler.SchedulerCommand.SubscribeToEndpoints;
import waytrestle.scheduler.SchedulerEvent.EndpointUpdateFailed;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;

/** Changes of the endpoint list. */
class EndpointTrackerTest {
    @Test
    void drainingAndGoneInvokersGetNothing() {
        SchedulerFixture scheduler = new SchedulerFixture().start(ready("a"), ready("b"));
        scheduler.feed(
                new EndpointsUpdated(
                        false,
                        false,
                        List.of(new InvokerEndpoint("a", 0, 0, 0, EndpointState.DRAINING, 1, 0))));
        for (int i = 1; i < 9; i++) {
            assertEquals(
                    "b", onlyOne(scheduler.request(i, "f" + i), ForwardAttempt.class).invoker());
        }
        scheduler.feed(new EndpointsUpdated(true, false, List.of(ready("c"))));
        assertEquals("c", onlyOne(scheduler.request(20, "g"), ForwardAttempt.class).invoker());
    }

    @Test
    void aRestartForgetsTheInstances() {
        SchedulerFixture scheduler = new SchedulerFixture().start(ready("a"), ready("b"));
        String known = scheduler.warm(1, "f");
        long upSince = scheduler.now - 11_000_000;
        scheduler.feed(
                new EndpointsUpdated(
                        false,
                        false,
                        List.of(
                                new InvokerEndpoint(
                                        known, 0, 0, 0, EndpointState.READY, 1, upSince))));
        String to =
                onlyOne(scheduler.request(2, "f", 5_000_000, 2_000_000), ForwardAttempt.class)
                        .invoker();
        List<SchedulerCommand> commands =
                scheduler.completed(2, 0, to, ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        assertEquals(
                1,
                allOf(commands, ForwardAttempt.class).size(),
                "full for a load moves on, full for a warm instance waits");
    }

    @Test
    void subscribesWhereTheListIsPolledAndSubscribesAgainAfterAFailure() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.discovery = DiscoveryMode.POLL;
        scheduler.start(ready("a"));
        assertEquals(1, allOf(scheduler.commands, SubscribeToEndpoints.class).size());
        SchedulerTimer timer =
                onlyOne(scheduler.feed(new EndpointUpdateFailed()), SetTimer.class).timer();
        assertEquals(
                1,
                allOf(scheduler.feed(new TimerExpired(timer)), SubscribeToEndpoints.class).size());
    }

    @Test
    void anInvokerThatLeftTheListAndReturnedIsUsedAgain() {
        SchedulerFixture scheduler = new SchedulerFixture().start(ready("a"));
        scheduler.warm(1, "f");
        scheduler.feed(
                new EndpointsUpdated(
                        false,
                        false,
                        List.of(new InvokerEndpoint("a", 0, 0, 0, EndpointState.GONE, 1, 0))));
        scheduler.feed(new TimerExpired(new SchedulerTimer.Maintenance()));
        assertTrue(
                scheduler.preloaded("a", "f", 1).isEmpty(),
                "a late preload response must not bring it back");
        assertTrue(allOf(scheduler.request(2, "f"), ForwardAttempt.class).isEmpty());
        scheduler.feed(new EndpointsUpdated(false, false, List.of(ready("a"))));
        assertEquals("a", onlyOne(scheduler.request(3, "f"), ForwardAttempt.class).invoker());
    }
}
