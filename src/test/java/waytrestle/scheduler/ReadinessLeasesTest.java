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

/** Which invokers get new work while service discovery is unreachable. */
class ReadinessLeasesTest {
    /** Four fifths of the fixture's drain grace. */
    private static final long LEASE_MICROS = 400_000;

    private static final long ROUND_TRIP_MICROS = 2_000;
    private static final long SECOND_MICROS = 1_000_000;

    private final SchedulerFixture scheduler = new SchedulerFixture();

    private void startAndLoseDiscovery(InvokerEndpoint... invokers) {
        scheduler.mayCheckHealth = true;
        scheduler.start(invokers);
        scheduler.feed(new ListFreshnessChanged(scheduler.now, false));
    }

    private List<SchedulerCommand> completeHealthCheck(String invoker, ResponseCode code) {
        return completeHealthCheck(invoker, code, 1);
    }

    private List<SchedulerCommand> completeHealthCheck(
            String invoker, ResponseCode code, long connectedSinceMicros) {
        scheduler.now += ROUND_TRIP_MICROS;
        return scheduler.feed(
                new HealthCheckCompleted(
                        invoker, code, ROUND_TRIP_MICROS, Map.of(), connectedSinceMicros));
    }

    private boolean mayStartWork(String invoker) {
        return scheduler.scheduler.mayStartWork(invoker, scheduler.now);
    }

    private static String checkedInvoker(List<SchedulerCommand> commands) {
        assertEquals(
                List.of(),
                commandsOfType(commands, ForwardAttempt.class),
                "no attempt before the health check");
        return onlyCommand(commands, CheckHealth.class).invoker();
    }

    @Test
    void noHealthChecksAreSentWhileTheEndpointListIsCurrent() {
        scheduler.mayCheckHealth = true;
        scheduler.start(readyInvoker("a"));
        scheduler.now += 100 * SECOND_MICROS;
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
                List.of(),
                commandsOfType(scheduler.request(3, "h"), CheckHealth.class),
                "one health check at a time");
        long sentAt = scheduler.now;
        List<SchedulerCommand> commands = completeHealthCheck("a", ResponseCode.OK);
        assertEquals(
                2, commandsOfType(commands, ForwardAttempt.class).size(), "both waiting requests");
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
        assertFalse(mayStartWork("a"), "a draining invoker still serves requests for a while");
    }

    @Test
    void attemptInTheSecondHalfOfALeaseSendsAHealthCheckWithoutWaitingForIt() {
        startAndLoseDiscovery(readyInvoker("a"));
        scheduler.now += LEASE_MICROS + 1;
        checkedInvoker(scheduler.request(1, "f"));
        completeHealthCheck("a", ResponseCode.OK);
        scheduler.now += LEASE_MICROS / 4;
        assertEquals(
                List.of(),
                commandsOfType(scheduler.request(2, "f"), CheckHealth.class),
                "in the first half of the lease");
        scheduler.now += LEASE_MICROS / 2;
        List<SchedulerCommand> commands = scheduler.request(3, "f");
        assertEquals(
                1,
                commandsOfType(commands, ForwardAttempt.class).size(),
                "the attempt does not wait for the check");
        assertEquals(1, commandsOfType(commands, CheckHealth.class).size());
    }

    @Test
    void invokerThatFailsAHealthCheckReceivesNeitherAttemptsNorChecksDuringItsPause() {
        startAndLoseDiscovery(readyInvoker("a"), readyInvoker("b"));
        scheduler.now += LEASE_MICROS + 1;
        String draining = checkedInvoker(scheduler.request(1, "f"));
        String other = draining.equals("a") ? "b" : "a";
        assertEquals(other, checkedInvoker(completeHealthCheck(draining, ResponseCode.ERROR)));
        List<SchedulerCommand> commands = completeHealthCheck(other, ResponseCode.OK);
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
        commands = completeHealthCheck(other, ResponseCode.OK);
        assertEquals(other, onlyCommand(commands, ForwardAttempt.class).invoker());
    }

    @Test
    void deferredPreloadIsSentAfterAPassedHealthCheckAndDroppedAfterAFailedOne() {
        scheduler.mayCheckHealth = true;
        scheduler.start(readyInvoker("a"));
        for (int i = 100; i < 120; i++) { // unknown instances prove cold
            scheduler.request(i, "g" + i);
            scheduler.completeAttempt(i, 0, "a", ResponseCode.OK, StartKind.COLD, 600_000);
        }
        scheduler.feed(new ListFreshnessChanged(scheduler.now, false));
        scheduler.now += LEASE_MICROS + 1;
        List<SchedulerCommand> commands =
                scheduler.request(1, "f", SECOND_MICROS, 4 * SECOND_MICROS);
        onlyCommand(commands, RejectRequest.class);
        assertEquals(List.of(), commandsOfType(commands, PreloadFunction.class));
        commands = completeHealthCheck("a", ResponseCode.OK);
        assertEquals("f", onlyCommand(commands, PreloadFunction.class).function());
        scheduler.now += LEASE_MICROS + 1;
        scheduler.request(2, "g", SECOND_MICROS, 4 * SECOND_MICROS);
        commands = completeHealthCheck("a", ResponseCode.ERROR);
        assertEquals(List.of(), commandsOfType(commands, PreloadFunction.class));
    }

    @Test
    void withoutHealthChecksRequestsAreRejectedUntilDiscoveryCatchesUp() {
        scheduler.start(readyInvoker("a"));
        long lostAt = scheduler.now;
        scheduler.feed(new ListFreshnessChanged(lostAt, false));
        scheduler.now += LEASE_MICROS + 1;
        List<SchedulerCommand> commands = scheduler.request(1, "f");
        assertEquals(SECOND_MICROS, onlyCommand(commands, RejectRequest.class).retryAfterMicros());
        assertEquals(List.of(), commandsOfType(commands, ForwardAttempt.class));
        scheduler.feed(new ListFreshnessChanged(lostAt, true));
        commands = scheduler.request(3, "f");
        assertEquals(
                List.of(),
                commandsOfType(commands, RejectRequest.class),
                "the missed changes are being delivered");
        assertEquals(List.of(), commandsOfType(commands, ForwardAttempt.class));
        scheduler.feed(new ListFreshnessChanged(ListFreshnessChanged.CURRENT, false));
        assertEquals(1, commandsOfType(scheduler.request(2, "f"), ForwardAttempt.class).size());
    }

    @Test
    void instancesAreForgottenAfterTimeForARestartWithoutALastingConnection() {
        assertFalse(keepsInstances(scheduler, 5 * SECOND_MICROS, Long.MAX_VALUE));
        assertTrue(
                keepsInstances(new SchedulerFixture(), 5 * SECOND_MICROS, 1),
                "a connection has lasted");
        assertTrue(
                keepsInstances(new SchedulerFixture(), 2 * SECOND_MICROS, Long.MAX_VALUE),
                "2 s are too short for a restart");
    }

    @Test
    void instancesAreForgottenAfterAFailedHealthCheckUnlessTheConnectionLasted() {
        for (long connectedSinceMicros : new long[] {1, Long.MAX_VALUE}) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.mayCheckHealth = true;
            fixture.start(readyInvoker("a"));
            fixture.serveWarm(1, "f");
            fixture.feed(new ListFreshnessChanged(fixture.now, false));
            fixture.now += LEASE_MICROS + 1;
            checkedInvoker(fixture.request(2, "f"));
            fixture.feed(new HealthCheckCompleted("a", ResponseCode.ERROR, 1, Map.of(), 1));
            fixture.now += SECOND_MICROS;
            checkedInvoker(fixture.request(3, "f"));
            fixture.feed(
                    new HealthCheckCompleted(
                            "a", ResponseCode.OK, 1, Map.of(), connectedSinceMicros));
            boolean kept =
                    !commandsOfType(
                                    fixture.request(4, "f", 3 * SECOND_MICROS, 9 * SECOND_MICROS),
                                    ForwardAttempt.class)
                            .isEmpty();
            assertEquals(
                    connectedSinceMicros == 1, kept, "connected since " + connectedSinceMicros);
        }
    }

    /**
     * Returns whether the scheduler still knows an instance at its invoker after the invoker passes
     * a health check. The check is sent {@code afterMicros} after the loss of service discovery.
     */
    private static boolean keepsInstances(
            SchedulerFixture scheduler, long afterMicros, long connectedSinceMicros) {
        scheduler.mayCheckHealth = true;
        scheduler.start(readyInvoker("a"));
        scheduler.serveWarm(1, "f");
        scheduler.feed(new ListFreshnessChanged(scheduler.now, false));
        scheduler.now += afterMicros;
        checkedInvoker(scheduler.request(2, "f"));
        long knownConnectedSince = Math.max(connectedSinceMicros, 1);
        scheduler.feed(
                new HealthCheckCompleted("a", ResponseCode.OK, 1, Map.of(), knownConnectedSince));
        List<SchedulerCommand> commands =
                scheduler.request(3, "f", 3 * SECOND_MICROS, 9 * SECOND_MICROS);
        return !commandsOfType(commands, ForwardAttempt.class).isEmpty();
    }
}
