package waytrestle.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import waytrestle.requests.PendingRequests.AbandonRequest;
import waytrestle.requests.PendingRequests.AttemptCompleted;
import waytrestle.requests.PendingRequests.AttemptForwarded;
import waytrestle.requests.PendingRequests.AttemptSent;
import waytrestle.requests.PendingRequests.ClientDisconnected;
import waytrestle.requests.PendingRequests.DeadlineExpired;
import waytrestle.requests.PendingRequests.RespondToClient;
import waytrestle.requests.PendingRequests.SchedulerRejectedRequest;
import waytrestle.requests.PendingRequests.SchedulerThrew;
import waytrestle.requests.PendingRequests.SetDeadlineTimer;
import waytrestle.requests.PendingRequests.ShutdownGraceExpired;
import waytrestle.requests.PendingRequests.ShutdownStarted;
import waytrestle.requests.PendingRequests.StartRequest;
import waytrestle.requests.RequestOutcome.AttemptSummary;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.requests.RequestOutcome.Rejected;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.ResponseCode;

/** Checks which client of a pending request gets which outcome, and when. */
class PendingRequestsTest {
    private static final long MICROS_PER_SECOND = PendingRequestsFixture.MICROS_PER_SECOND;
    private static final long TICK_MICROS = PendingRequestsFixture.TICK_MICROS;
    private static final int MAX_IN_FLIGHT = 3;

    /** Indices of request classes in the fixture, which has one class per idempotency. */
    private static final int IDEMPOTENT = Idempotency.IDEMPOTENT.ordinal();

    private static final int NON_IDEMPOTENT = Idempotency.NON_IDEMPOTENT.ordinal();
    private static final Served RESPONSE = PendingRequestsFixture.RESPONSE;

    private final PendingRequestsFixture fixture =
            new PendingRequestsFixture(
                    MAX_IN_FLIGHT,
                    PendingRequestsFixture.requestClassOf(
                            Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                    PendingRequestsFixture.requestClassOf(
                            Idempotency.KEYED, DeduplicationScope.CELL),
                    PendingRequestsFixture.requestClassOf(
                            Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));

    /** Lets the first attempt of a request be served. */
    private void serve(long requestId) {
        fixture.handle(new AttemptForwarded(requestId, 0));
        fixture.handle(new AttemptSent(requestId, 0));
        fixture.handle(new AttemptCompleted(requestId, 0, ResponseCode.OK, RESPONSE, true, "200"));
    }

    @Test
    void repeatJoinsTheRequestInFlightAndBothClientsGetItsOutcome() {
        long requestId = fixture.startRequest(1, NON_IDEMPOTENT, "a");
        fixture.arrive(2, NON_IDEMPOTENT, "a", 3 * MICROS_PER_SECOND);
        assertTrue(fixture.commands().stream().noneMatch(StartRequest.class::isInstance));
        serve(requestId);
        assertEquals(RESPONSE, fixture.outcomeSentTo(1));
        assertEquals(RESPONSE, fixture.outcomeSentTo(2));
        fixture.arrive(3, NON_IDEMPOTENT, "a", MICROS_PER_SECOND);
        assertEquals(
                RESPONSE,
                fixture.outcomeSentTo(3),
                "the same outcome for a repeat after completion");
    }

    @Test
    void joinedClientWithAnEarlierDeadlineGetsStillInFlightBeforeIt() {
        long requestId = fixture.startRequest(1, NON_IDEMPOTENT, "a");
        fixture.arrive(2, NON_IDEMPOTENT, "a", MICROS_PER_SECOND);
        long afterMicros = fixture.onlyCommand(SetDeadlineTimer.class).afterMicros();
        assertTrue(afterMicros < MICROS_PER_SECOND);
        fixture.now += afterMicros;
        fixture.handle(new DeadlineExpired(2));
        assertEquals(new Failed(Reason.STILL_IN_FLIGHT, true), fixture.outcomeSentTo(2));
        serve(requestId);
        assertEquals(RESPONSE, fixture.outcomeSentTo(1));
        assertNull(fixture.outcomeSentTo(2), "no second response to one client");
    }

    @Test
    void newRequestWithinTheExpiryMarginIsRejectedWithNoFinishInTime() {
        fixture.arrive(1, NON_IDEMPOTENT, "a", TICK_MICROS);
        assertEquals(new Rejected(Reason.NO_FINISH_IN_TIME, 0), fixture.outcomeSentTo(1));
    }

    @Test
    void repeatThatArrivesAfterItsDeadlineFailsWithStillInFlight() {
        fixture.startRequest(2, NON_IDEMPOTENT, "a");
        fixture.arrive(3, NON_IDEMPOTENT, "a", -5);
        assertEquals(new Failed(Reason.STILL_IN_FLIGHT, true), fixture.outcomeSentTo(3));
    }

    @Test
    void requestIsAbandonedOnlyWhenTheLastOfItsClientsDisconnects() {
        long requestId = fixture.startRequest(1, IDEMPOTENT, "a");
        fixture.arrive(2, IDEMPOTENT, "a", 3 * MICROS_PER_SECOND);
        assertEquals(List.of(), fixture.handle(new ClientDisconnected(1)));
        fixture.handle(new ClientDisconnected(2));
        assertEquals(requestId, fixture.onlyCommand(AbandonRequest.class).requestId());
        assertEquals(0, fixture.pending.inFlight());
        assertEquals(0, fixture.pending.waitingClients());
    }

    /**
     * Guards against a regression: a request whose attempt was forwarded but not sent counted as
     * one that may have run, and its repeat failed with the reason "abandoned".
     */
    @Test
    void repeatAfterTheClientDisconnectedBeforeTheAttemptWasSentIsANewRequest() {
        long first = fixture.startRequest(1, NON_IDEMPOTENT, "a");
        fixture.handle(new AttemptForwarded(first, 0));
        fixture.handle(new ClientDisconnected(1));
        assertTrue(fixture.startRequest(2, NON_IDEMPOTENT, "a") > first);
    }

    @Test
    void repeatAfterTheClientDisconnectedOnceTheAttemptWasSentIsNotRun() {
        long requestId = fixture.startRequest(1, NON_IDEMPOTENT, "a");
        fixture.handle(new AttemptForwarded(requestId, 0));
        fixture.handle(new AttemptSent(requestId, 0));
        fixture.handle(new ClientDisconnected(1));
        fixture.arrive(2, NON_IDEMPOTENT, "a", 3 * MICROS_PER_SECOND);
        assertTrue(fixture.commands().stream().noneMatch(StartRequest.class::isInstance));
    }

    @Test
    void schedulerRejectionBecomesARejectionOnlyIfARetryIsProvedHarmless() {
        for (Idempotency idempotency : Idempotency.values()) {
            boolean idempotent = idempotency == Idempotency.IDEMPOTENT;
            assertEquals(
                    idempotent
                            ? rejectionWithLastResponse("x")
                            : failureWithLastResponse("x", Reason.CONNECTION_LOST),
                    outcomeOfSchedulerRejectionAfter(idempotency, ResponseCode.RESET),
                    idempotency + " after a lost connection");
            assertEquals(
                    rejectionWithLastResponse("x"),
                    outcomeOfSchedulerRejectionAfter(idempotency, ResponseCode.FULL),
                    idempotency + " after an invoker without capacity");
            assertEquals(
                    idempotent
                            ? rejectionWithLastResponse("")
                            : failureWithLastResponse("", Reason.ATTEMPTS_FAILED),
                    outcomeOfSchedulerRejectionAfter(idempotency, null),
                    idempotency + " with the attempt still in flight");
        }
    }

    private static Rejected rejectionWithLastResponse(String lastResponse) {
        return new Rejected(Reason.NO_FINISH_IN_TIME, 500, new AttemptSummary(1, lastResponse));
    }

    private static Failed failureWithLastResponse(String lastResponse, Reason reason) {
        return new Failed(reason, true, new AttemptSummary(1, lastResponse));
    }

    /**
     * Returns the outcome of a request that the scheduler rejects after its first attempt.
     *
     * @param code how the attempt ended, null while the attempt is in flight
     */
    private RequestOutcome outcomeOfSchedulerRejectionAfter(
            Idempotency idempotency, ResponseCode code) {
        String key = "key " + idempotency + " " + code;
        long requestId = fixture.startRequest(10, idempotency.ordinal(), key);
        fixture.handle(new AttemptForwarded(requestId, 0));
        fixture.handle(new AttemptSent(requestId, 0));
        if (code != null) {
            fixture.handle(new AttemptCompleted(requestId, 0, code, null, false, "x"));
        }
        fixture.handle(new SchedulerRejectedRequest(requestId, 500, 9 * MICROS_PER_SECOND));
        return fixture.outcomeSentTo(10);
    }

    /** Within the deduplication window, invokers drop duplicates, so a retry is harmless. */
    @Test
    void keyedRequestThatMayHaveRunIsRejectedWithinItsDeduplicationWindow() {
        RequestOutcome outcome = outcomeOfKeyedSchedulerRejectionAfter(MICROS_PER_SECOND);
        assertInstanceOf(Rejected.class, outcome, outcome.toString());
    }

    @Test
    void keyedRequestThatMayHaveRunFailsAfterItsDeduplicationWindow() {
        RequestOutcome outcome =
                outcomeOfKeyedSchedulerRejectionAfter(
                        PendingRequestsFixture.DEDUPLICATION_WINDOW_MICROS + 1);
        assertInstanceOf(Failed.class, outcome, outcome.toString());
    }

    private static RequestOutcome outcomeOfKeyedSchedulerRejectionAfter(long elapsedMicros) {
        PendingRequestsFixture allDeduplicate =
                new PendingRequestsFixture(
                        9,
                        PendingRequestsFixture.requestClassOf(
                                Idempotency.KEYED, DeduplicationScope.ALL));
        long requestId = allDeduplicate.startRequest(1, 0, null);
        allDeduplicate.handle(new AttemptForwarded(requestId, 0));
        allDeduplicate.handle(new AttemptSent(requestId, 0));
        allDeduplicate.now += elapsedMicros;
        allDeduplicate.handle(new SchedulerRejectedRequest(requestId, 0, -1));
        return allDeduplicate.outcomeSentTo(1);
    }

    @Test
    void requestThatTheSchedulerDoesNotEndFailsWithDeadlineExceededWhenItsTimerExpires() {
        long requestId = fixture.startRequest(1, NON_IDEMPOTENT, "a");
        fixture.handle(new AttemptForwarded(requestId, 0));
        fixture.handle(new AttemptSent(requestId, 0));
        fixture.now += 3 * MICROS_PER_SECOND - TICK_MICROS / 2;
        fixture.handle(new DeadlineExpired(1));
        assertEquals(
                failureWithLastResponse("", Reason.DEADLINE_EXCEEDED), fixture.outcomeSentTo(1));
        assertEquals(requestId, fixture.onlyCommand(AbandonRequest.class).requestId());
    }

    private void startMaxInFlightRequests() {
        fixture.startRequest(1, IDEMPOTENT, "a");
        fixture.startRequest(2, IDEMPOTENT, "b");
        fixture.startRequest(3, IDEMPOTENT, "c");
    }

    @Test
    void requestBeyondTheMaximumInFlightIsRejected() {
        startMaxInFlightRequests();
        fixture.arrive(4, IDEMPOTENT, "d", MICROS_PER_SECOND);
        assertEquals(new Rejected(Reason.TOO_MANY_IN_FLIGHT, 0), fixture.outcomeSentTo(4));
    }

    @Test
    void duringShutdownRepeatsJoinAndNewRequestsAreRejected() {
        startMaxInFlightRequests();
        fixture.handle(new ShutdownStarted());
        fixture.arrive(5, IDEMPOTENT, "a", MICROS_PER_SECOND);
        assertNull(fixture.outcomeSentTo(5));
        fixture.arrive(6, IDEMPOTENT, "e", MICROS_PER_SECOND);
        assertEquals(new Rejected(Reason.SHUTTING_DOWN, 0), fixture.outcomeSentTo(6));
    }

    @Test
    void endOfTheShutdownGracePeriodRespondsToAllWaitingClients() {
        startMaxInFlightRequests();
        fixture.handle(new ShutdownStarted());
        fixture.arrive(5, IDEMPOTENT, "a", MICROS_PER_SECOND);
        fixture.handle(new ShutdownGraceExpired());
        assertEquals(
                4, fixture.commands().stream().filter(RespondToClient.class::isInstance).count());
        assertEquals(0, fixture.pending.inFlight());
    }

    @Test
    void requestFailsWithInternalErrorWhenTheSchedulerThrows() {
        long requestId = fixture.startRequest(1, NON_IDEMPOTENT, "a");
        fixture.handle(new SchedulerThrew(requestId));
        assertEquals(new Failed(Reason.INTERNAL_ERROR, false), fixture.outcomeSentTo(1));
    }

    /** Plays random events in random order, then lets all deadline timers expire. */
    @Property(tries = 300, seed = "42")
    void everyClientGetsOneResponseBeforeItsDeadlineUnlessItDisconnects(@ForAll long seed) {
        RandomEventRun run = new RandomEventRun(fixture, seed);
        run.run(120);
        for (long client : run.clients()) {
            assertTrue(run.hasResponseOrDisconnected(client), "no response to client " + client);
        }
        assertEquals(0, fixture.pending.inFlight());
    }
}
