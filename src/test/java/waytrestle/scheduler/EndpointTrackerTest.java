package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.commandsOfType;
import static waytrestle.scheduler.SchedulerFixture.onlyCommand;
import static waytrestle.scheduler.SchedulerFixture.readyInvoker;

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
    void drainingInvokersAndInvokersMissingInASnapshotReceiveNoAttempts() {
        SchedulerFixture scheduler = new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        scheduler.feed(
                new EndpointsUpdated(
                        false,
                        false,
                        List.of(new InvokerEndpoint("a", 0, 0, 0, EndpointState.DRAINING, 1, 0))));
        for (int i = 1; i < 9; i++) {
            assertEquals(
                    "b", onlyCommand(scheduler.request(i, "f" + i), ForwardAttempt.class).invoker());
        }
        scheduler.feed(new EndpointsUpdated(true, false, List.of(readyInvoker("c"))));
        assertEquals("c", onlyCommand(scheduler.request(20, "g"), ForwardAttempt.class).invoker());
    }

    @Test
    void restartedInvokerIsTreatedAsHoldingNoInstances() {
        SchedulerFixture scheduler = new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        String known = scheduler.serveWarm(1, "f");
        long upSince = scheduler.now - 11_000_000;
        scheduler.feed(
                new EndpointsUpdated(
                        false,
                        false,
                        List.of(
                                new InvokerEndpoint(
                                        known, 0, 0, 0, EndpointState.READY, 1, upSince))));
        String to =
                onlyCommand(scheduler.request(2, "f", 5_000_000, 2_000_000), ForwardAttempt.class)
                        .invoker();
        List<SchedulerCommand> commands =
                scheduler.completeAttempt(2, 0, to, ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        assertEquals(
                1,
                commandsOfType(commands, ForwardAttempt.class).size(),
                "full for a load moves on, full for a warm instance waits");
    }

    @Test
    void polledEndpointListIsSubscribedToAndAgainAfterAFailedUpdate() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.discovery = DiscoveryMode.POLL;
        scheduler.start(readyInvoker("a"));
        assertEquals(1, commandsOfType(scheduler.commands, SubscribeToEndpoints.class).size());
        SchedulerTimer timer =
                onlyCommand(scheduler.feed(new EndpointUpdateFailed()), SetTimer.class).timer();
        assertEquals(
                1,
                commandsOfType(scheduler.feed(new TimerExpired(timer)), SubscribeToEndpoints.class).size());
    }

    @Test
    void goneInvokerReceivesAttemptsAgainOnceListedAsReady() {
        SchedulerFixture scheduler = new SchedulerFixture().start(readyInvoker("a"));
        scheduler.serveWarm(1, "f");
        scheduler.feed(
                new EndpointsUpdated(
                        false,
                        false,
                        List.of(new InvokerEndpoint("a", 0, 0, 0, EndpointState.GONE, 1, 0))));
        scheduler.feed(new TimerExpired(new SchedulerTimer.Maintenance()));
        assertTrue(
                scheduler.completePreload("a", "f", 1).isEmpty(),
                "a late preload response must not bring it back");
        assertTrue(commandsOfType(scheduler.request(2, "f"), ForwardAttempt.class).isEmpty());
        scheduler.feed(new EndpointsUpdated(false, false, List.of(readyInvoker("a"))));
        assertEquals("a", onlyCommand(scheduler.request(3, "f"), ForwardAttempt.class).invoker());
    }
}
