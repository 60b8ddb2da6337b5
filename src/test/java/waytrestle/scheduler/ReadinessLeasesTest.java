package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.commandsOfType;
import static waytrestle.scheduler.SchedulerFixture.onlyCommand;
import static waytrestle.scheduler.SchedulerFixture.readyInvoker;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.CheckHealth;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerCommand.RejectRequest;
import waytrestle.scheduler.SchedulerEvent.HealthCheckCompleted;
import waytrestle.scheduler.SchedulerEvent.ListFreshnessChanged;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;

/** Who gets new work while service discovery is out of reach. */
class ReadinessLeasesTest {
    /** Four fifths of the fixture's drain grace. */
    private static final long LEASE_MICROS = 400_000;

    private static final long ROUND_TRIP_MICROS = 2_000;
    private static final long SECOND = 1_000_000;

    private final SchedulerFixture scheduler = new SchedulerFixture();

    private void startAndLoseDiscovery(InvokerEndpoint... invokers) {
        scheduler.mayCheckHealth = true;
        scheduler.start(invokers);
        scheduler.feed(new ListFreshnessChanged(scheduler.now, false));
    }

    private List<SchedulerCommand> checked(String invoker, ResponseCode code) {
        return checked(invoker, code, 1);
    }

    private List<SchedulerCommand> checked(String invoker, ResponseCode code, long connectedSince) {
        scheduler.now += ROUND_TRIP_MICROS;
        return scheduler.feed(
                new HealthCheckCompleted(
                        invoker, code, ROUND_TRIP_MICROS, Map.of(), connectedSince));
    }

    private boolean mayStartWork(String invoker) {
        return scheduler.scheduler.mayStartWork(invoker, scheduler.now);
    }

    private static String checkedInvoker(List<SchedulerCommand> commands) {
        assertEquals(List.of(), commandsOfType(commands, ForwardAttempt.class), "nothing is sent unasked");
        return onlyCommand(commands, CheckHealth.class).invoker();
    }

    @Test
    void noHealthChecksAreSentWhileTheEndpointListIsCurrent() {
        scheduler.mayCheckHealth = true;
        scheduler.start(readyInvoker("a"));
        scheduler.now += 100 * SECOND;
        List<SchedulerCommand> commands = scheduler.request(1, "f");
        assertEquals("a", onlyCommand(commands, ForwardAttempt.class).invoker());
        assertEquals(List.of(), commandsOfType(commands, CheckHealth.class));
    }

    @Test
    void outdatedListIsValidForOneLeaseAndThenRequestsWaitForAHealthCheck() {
        startAndLoseDiscovery(readyInvoker("a"));
        scheduler.now += LEASE_MICROS;
        assertTrue(mayStartWork("a"));
        assertEquals(1, commandsOfType(scheduler.request(1, "f"), ForwardAttempt.class).size());
        scheduler.now += 1;
        assertFalse(mayStartWork("a"));
        assertEquals("a", checkedInvoker(scheduler.request(2, "g")));
        assertEquals(
                List.of(), commandsOfType(scheduler.request(3, "h"), CheckHealth.class), "one at a time");
        long sentAt = scheduler.now;
        List<SchedulerCommand> commands = checked("a", ResponseCode.OK);
        assertEquals(2, commandsOfType(commands, ForwardAttempt.class).size(), "both that waited");
        scheduler.now = sentAt + LEASE_MICROS;
        assertTrue(mayStartWork("a"), "the lease counts from when the check was sent");
        scheduler.now++;
        assertFalse(mayStartWork("a"));
    }

    @Test
    void successfulResponseDoesNotRenewTheLease() {
        startAndLoseDiscovery(readyInvoker("a"));
        scheduler.now += LEASE_MICROS;
        ForwardAttempt attempt = onlyCommand(scheduler.request(1, "f"), ForwardAttempt.class);
        scheduler.now += 50_000;
        scheduler.completeAttempt(1, 0, attempt.invoker(), ResponseCode.OK, StartKind.WARM, 50_000);
        assertFalse(mayStartWork("a"), "a draining invoker accepts requests for a while");
    }

    @Test
    void attemptInTheSecondHalfOfALeaseSendsAHealthCheckWithoutWaitingForIt() {
        startAndLoseDiscovery(readyInvoker("a"));
        scheduler.now += LEASE_MICROS + 1;
        checkedInvoker(scheduler.request(1, "f"));
        checked("a", ResponseCode.OK);
        scheduler.now += LEASE_MICROS / 4;
        assertEquals(List.of(), commandsOfType(scheduler.request(2, "f"), CheckHealth.class), "too early");
        scheduler.now += LEASE_MICROS / 2;
        List<SchedulerCommand> commands = scheduler.request(3, "f");
        assertEquals(1, commandsOfType(commands, ForwardAttempt.class).size(), "nothing waits for it");
        assertEquals(1, commandsOfType(commands, CheckHealth.class).size());
    }

    @Test
    void invokerThatFailsAHealthCheckReceivesNeitherAttemptsNorChecksDuringItsPause() {
        startAndLoseDiscovery(readyInvoker("a"), readyInvoker("b"));
        scheduler.now += LEASE_MICROS + 1;
        String draining = checkedInvoker(scheduler.request(1, "f"));
        String other = draining.equals("a") ? "b" : "a";
        assertEquals(other, checkedInvoker(checked(draining, ResponseCode.ERROR)));
        List<SchedulerCommand> commands = checked(other, ResponseCode.OK);
        assertEquals(other, onlyCommand(commands, ForwardAttempt.class).invoker());
        for (int i = 2; i < 10; i++) {
            scheduler.now += 10_000;
            commands = scheduler.request(i, "g" + i);
            assertEquals(other, onlyCommand(commands, ForwardAttempt.class).invoker());
            assertEquals(List.of(), commandsOfType(commands, CheckHealth.class));
        }
        assertFalse(mayStartWork(draining));
    }

    @Test
    void requestMovesToAnotherInvokerWhenAHealthCheckGetsNoResponse() {
        startAndLoseDiscovery(readyInvoker("a"), readyInvoker("b"));
        scheduler.now += LEASE_MICROS + 1;
        String silent = checkedInvoker(scheduler.request(1, "f"));
        scheduler.now += 45_000;
        List<SchedulerCommand> commands =
                scheduler.feed(new TimerExpired(new SchedulerTimer.QueuedRequestRetry(1)));
        String other = checkedInvoker(commands);
        assertFalse(other.equals(silent));
        commands = checked(other, ResponseCode.OK);
        assertEquals(other, onlyCommand(commands, ForwardAttempt.class).invoker());
    }

    @Test
    void deferredPreloadIsSentAfterAPassedHealthCheckAndDroppedAfterAFailedOne() {
        scheduler.mayCheckHealth = true;
        scheduler.start(readyInvoker("a"));
        for (int i = 100; i < 120; i++) { // teaches that guesses find no loaded instance
            scheduler.request(i, "g" + i);
            scheduler.completeAttempt(i, 0, "a", ResponseCode.OK, StartKind.COLD, 600_000);
        }
        scheduler.feed(new ListFreshnessChanged(scheduler.now, false));
        scheduler.now += LEASE_MICROS + 1;
        List<SchedulerCommand> commands = scheduler.request(1, "f", SECOND, 4 * SECOND);
        onlyCommand(commands, RejectRequest.class);
        assertEquals(List.of(), commandsOfType(commands, PreloadFunction.class));
        commands = checked("a", ResponseCode.OK);
        assertEquals("f", onlyCommand(commands, PreloadFunction.class).function());
        scheduler.now += LEASE_MICROS + 1;
        scheduler.request(2, "g", SECOND, 4 * SECOND);
        commands = checked("a", ResponseCode.ERROR);
        assertEquals(List.of(), commandsOfType(commands, PreloadFunction.class));
    }

    @Test
    void withoutHealthChecksRequestsAreRejectedUntilDiscoveryCatchesUp() {
        scheduler.start(readyInvoker("a"));
        long lostAt = scheduler.now;
        scheduler.feed(new ListFreshnessChanged(lostAt, false));
        scheduler.now += LEASE_MICROS + 1;
        List<SchedulerCommand> commands = scheduler.request(1, "f");
        assertEquals(SECOND, onlyCommand(commands, RejectRequest.class).retryAfterMicros());
        assertEquals(List.of(), commandsOfType(commands, ForwardAttempt.class));
        scheduler.feed(new ListFreshnessChanged(lostAt, true));
        commands = scheduler.request(3, "f");
        assertEquals(List.of(), commandsOfType(commands, RejectRequest.class), "it is about to be back");
        assertEquals(List.of(), commandsOfType(commands, ForwardAttempt.class));
        scheduler.feed(new ListFreshnessChanged(ListFreshnessChanged.CURRENT, false));
        assertEquals(1, commandsOfType(scheduler.request(2, "f"), ForwardAttempt.class).size());
    }

    @Test
    void instancesAreForgottenAfterTimeForARestartWithoutALastingConnection() {
        assertFalse(keepsInstances(scheduler, 5 * SECOND, Long.MAX_VALUE));
        assertTrue(keepsInstances(new SchedulerFixture(), 5 * SECOND, 1), "a connection lasted");
        assertTrue(keepsInstances(new SchedulerFixture(), 2 * SECOND, Long.MAX_VALUE), "no time");
    }

    @Test
    void instancesAreForgottenAfterAFailedHealthCheckUnlessTheConnectionLasted() {
        for (long connectedSince : new long[] {1, Long.MAX_VALUE}) {
            SchedulerFixture each = new SchedulerFixture();
            each.mayCheckHealth = true;
            each.start(readyInvoker("a"));
            each.serveWarm(1, "f");
            each.feed(new ListFreshnessChanged(each.now, false));
            each.now += LEASE_MICROS + 1;
            checkedInvoker(each.request(2, "f"));
            each.feed(new HealthCheckCompleted("a", ResponseCode.ERROR, 1, Map.of(), 1));
            each.now += SECOND;
            checkedInvoker(each.request(3, "f"));
            each.feed(new HealthCheckCompleted("a", ResponseCode.OK, 1, Map.of(), connectedSince));
            boolean kept =
                    !commandsOfType(each.request(4, "f", 3 * SECOND, 9 * SECOND), ForwardAttempt.class)
                            .isEmpty();
            assertEquals(connectedSince == 1, kept, "connected since " + connectedSince);
        }
    }

    /** Whether an instance there is still known after a check that passes so long after a loss. */
    private static boolean keepsInstances(
            SchedulerFixture scheduler, long afterMicros, long connectedSince) {
        scheduler.mayCheckHealth = true;
        scheduler.start(readyInvoker("a"));
        scheduler.serveWarm(1, "f");
        scheduler.feed(new ListFreshnessChanged(scheduler.now, false));
        scheduler.now += afterMicros;
        checkedInvoker(scheduler.request(2, "f"));
        long seen = Math.max(connectedSince, 1);
        scheduler.feed(new HealthCheckCompleted("a", ResponseCode.OK, 1, Map.of(), seen));
        List<SchedulerCommand> commands = scheduler.request(3, "f", 3 * SECOND, 9 * SECOND);
        return !commandsOfType(commands, ForwardAttempt.class).isEmpty();
    }
}
