package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.commandsOfType;
import static waytrestle.scheduler.SchedulerFixture.onlyCommand;
import static waytrestle.scheduler.SchedulerFixture.readyInvoker;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.SetTimer;
import waytrestle.scheduler.SchedulerCommand.SubscribeToEndpoints;
import waytrestle.scheduler.SchedulerEvent.EndpointUpdateFailed;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;

/** How the scheduler applies snapshots and changes of the endpoint list. */
class EndpointTrackerTest {
    @Property(tries = 300, seed = "59")
    void readyInvokersOfEachKindAreCountedAsAWalkOverAllWouldCountThem(@ForAll long seed) {
        SplittableRandom draw = new SplittableRandom(seed);
        SchedulerState state = new SchedulerState(new SchedulerFixture().settings(), seed);
        EndpointTracker tracker = new EndpointTracker(state, new ReadinessLeases(state));
        EndpointState[] states = EndpointState.values();
        for (int update = 0; update < 30; update++) {
            List<InvokerEndpoint> entries = new ArrayList<>();
            while (draw.nextInt(3) > 0) {
                EndpointState drawn = states[draw.nextInt(states.length)];
                String id = "w" + draw.nextInt(8);
                entries.add(new InvokerEndpoint(id, 0, 0, draw.nextInt(3), drawn, 1, 0));
            }
            tracker.update(new EndpointsUpdated(draw.nextInt(4) == 0, false, entries));
            state.readyInvokersByKind.forEach(
                    (kind, ready) -> assertEquals(readyOfKind(state, kind), ready.count()));
            for (InvokerState invoker : state.invokers.inOrder()) {
                assertTrue(state.readyInvokersByKind.containsKey(invoker.endpoint.kind()));
            }
            if (draw.nextBoolean()) {
                tracker.removeUnused();
            }
        }
    }

    private static long readyOfKind(SchedulerState state, int kind) {
        return Stream.of(state.invokers.inOrder())
                .filter(invoker -> invoker.ready && invoker.endpoint.kind() == kind)
                .count();
    }

    @Test
    void drainingInvokersAndInvokersMissingInASnapshotReceiveNoAttempts() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        scheduler.feed(
                new EndpointsUpdated(
                        false,
                        false,
                        List.of(new InvokerEndpoint("a", 0, 0, 0, EndpointState.DRAINING, 1, 0))));
        for (int i = 1; i < 9; i++) {
            assertEquals(
                    "b",
                    onlyCommand(scheduler.request(i, "f" + i), ForwardAttempt.class).invoker());
        }
        scheduler.feed(new EndpointsUpdated(true, false, List.of(readyInvoker("c"))));
        assertEquals("c", onlyCommand(scheduler.request(20, "g"), ForwardAttempt.class).invoker());
    }

    @Test
    void restartedInvokerIsTreatedAsHoldingNoInstances() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        String warmInvoker = scheduler.serveWarm(1, "f");
        long restartedAt = scheduler.now - 11_000_000;
        scheduler.feed(
                new EndpointsUpdated(
                        false,
                        false,
                        List.of(
                                new InvokerEndpoint(
                                        warmInvoker,
                                        0,
                                        0,
                                        0,
                                        EndpointState.READY,
                                        1,
                                        restartedAt))));
        String target =
                onlyCommand(scheduler.request(2, "f", 5_000_000, 2_000_000), ForwardAttempt.class)
                        .invoker();
        List<SchedulerCommand> commands =
                scheduler.completeAttempt(
                        2, 0, target, ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        assertEquals(
                1,
                commandsOfType(commands, ForwardAttempt.class).size(),
                "a full response to a cold attempt is retried elsewhere at once; to a warm one it"
                        + " waits");
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
                commandsOfType(scheduler.feed(new TimerExpired(timer)), SubscribeToEndpoints.class)
                        .size());
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
                "a preload response after GONE must have no effect");
        assertTrue(commandsOfType(scheduler.request(2, "f"), ForwardAttempt.class).isEmpty());
        scheduler.feed(new EndpointsUpdated(false, false, List.of(readyInvoker("a"))));
        assertEquals("a", onlyCommand(scheduler.request(3, "f"), ForwardAttempt.class).invoker());
    }
}
