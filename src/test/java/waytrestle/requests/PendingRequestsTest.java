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

/** Which client of a pending request gets which outcome, and when. */
class PendingRequestsTest {
    private static final long SECOND = PendingRequestsFixture.MICROS_PER_SECOND;
    private static final long TICK = PendingRequestsFixture.TICK_MICROS;
    private static final int IDEMPOTENT = Idempotency.IDEMPOTENT.ordinal();
    private static final int NON_IDEMPOTENT = Idempotency.NON_IDEMPOTENT.ordinal();
    private static final Served RESPONSE = PendingRequestsFixture.RESPONSE;

    private final PendingRequestsFixture fixture =
            new PendingRequestsFixture(
                    3,
                    PendingRequestsFixture.requestClassOf(
                            Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                    PendingRequestsFixture.requestClassOf(
                            Idempotency.KEYED, DeduplicationScope.CELL),
                    PendingRequestsFixture.requestClassOf(
                            Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));

    private void serve(long requestId) {
        fixture.handle(new AttemptForwarded(requestId, 0));
        fixture.handle(new AttemptSent(requestId, 0));
        fixture.handle(new AttemptCompleted(requestId, 0, ResponseCode.OK, RESPONSE, true, "200"));
    }

    @Test
    void repeatJoinsTheRequestInFlightAndBothClientsGetItsOutcome() {
        long requestId = fixture.startRequest(1, NON_IDEMPOTENT, "a");
        fixture.arrive(2, NON_IDEMPOTENT, "a", 3 * SECOND);
        assertTrue(fixture.commands().stream().noneMatch(StartRequest.class::isInstance));
        serve(requestId);
        assertEquals(RESPONSE, fixture.outcomeSentTo(1));
        assertEquals(RESPONSE, fixture.outcomeSentTo(2));
        fixture.arrive(3, NON_IDEMPOTENT, "a", SECOND);
        assertEquals(RESPONSE, fixture.outcomeSentTo(3), "the outcome is given again");
    }

    @Test
    void joinedClientWithLessTimeIsNotifiedThatTheRequestIsStillInFlight() {
        long requestId = fixture.startRequest(1, NON_IDEMPOTENT, "a");
        fixture.arrive(2, NON_IDEMPOTENT, "a", SECOND);
        long afterMicros = fixture.onlyCommand(SetDeadlineTimer.class).afterMicros();
        assertTrue(afterMicros < SECOND);
        fixture.now += afterMicros;
        fixture.handle(new DeadlineExpired(2));
        assertEquals(new Failed(Reason.STILL_IN_FLIGHT, true), fixture.outcomeSentTo(2));
        serve(requestId);
        assertEquals(RESPONSE, fixture.outcomeSentTo(1));
        assertNull(fixture.outcomeSentTo(2), "nothing after a response");
    }

    @Test
    void requestThatArrivesWithoutTimeLeftIsRejectedBeforeAnyAttempt() {
        fixture.arrive(1, NON_IDEMPOTENT, "a", TICK);
        assertEquals(new Rejected(Reason.NO_FINISH_IN_TIME, 0), fixture.outcomeSentTo(1));
    }

    @Test
    void repeatThatArrivesWithoutTimeLeftIsNotifiedThatTheRequestIsStillInFlight() {
        fixture.startRequest(2, NON_IDEMPOTENT, "a");
        fixture.arrive(3, NON_IDEMPOTENT, "a", -5);
        assertEquals(new Failed(Reason.STILL_IN_FLIGHT, true), fixture.outcomeSentTo(3));
    }

    @Test
    void requestIsAbandonedOnlyWhenTheLastOfItsClientsHasLeft() {
        long requestId = fixture.startRequest(1, IDEMPOTENT, "a");
        fixture.arrive(2, IDEMPOTENT, "a", 3 * SECOND);
        assertEquals(List.of(), fixture.handle(new ClientDisconnected(1)));
        fixture.handle(new ClientDisconnected(2));
        assertEquals(requestId, fixture.onlyCommand(AbandonRequest.class).requestId());
        assertEquals(0, fixture.pending.inFlight());
        assertEquals(0, fixture.pending.waitingClients());
    }

    /** It was remembered as one that may have run, and its repeat failed with "abandoned". */
    @Test
    void repeatOfARequestWhoseClientLeftBeforeItsAttemptWasSentIsANewRequest() {
        long first = fixture.startRequest(1, NON_IDEMPOTENT, "a");
        fixture.handle(new AttemptForwarded(first, 0));
        fixture.handle(new ClientDisconnected(1));
        assertTrue(fixture.startRequest(2, NON_IDEMPOTENT, "a") > first);
    }

    @Test
    void repeatOfARequestWhoseClientLeftAfterItsAttemptWasSentDoesNotRun() {
        long requestId = fixture.startRequest(1, NON_IDEMPOTENT, "a");
        fixture.handle(new AttemptForwarded(requestId, 0));
        fixture.handle(new AttemptSent(requestId, 0));
        fixture.handle(new ClientDisconnected(1));
        fixture.arrive(2, NON_IDEMPOTENT, "a", 3 * SECOND);
        assertTrue(fixture.commands().stream().noneMatch(StartRequest.class::isInstance));
    }

    @Test
    void schedulerRejectionIsPassedOnOnlyIfRetryingIsProvedHarmless() {
        for (Idempotency idempotency : Idempotency.values()) {
            boolean idempotent = idempotency == Idempotency.IDEMPOTENT;
            assertEquals(
                    idempotent ? rejectedAfter("x") : failedAfter("x", Reason.CONNECTION_LOST),
                    outcomeOfRejectionAfter(idempotency, ResponseCode.RESET),
                    idempotency + " after a lost connection");
            assertEquals(
                    rejectedAfter("x"),
                    outcomeOfRejectionAfter(idempotency, ResponseCode.FULL),
                    idempotency + " after an invoker without capacity");
            assertEquals(
                    idempotent ? rejectedAfter("") : failedAfter("", Reason.ATTEMPTS_FAILED),
                    outcomeOfRejectionAfter(idempotency, null),
                    idempotency + " with the attempt still in flight");
        }
    }

    private static Rejected rejectedAfter(String lastResponse) {
        return new Rejected(Reason.NO_FINISH_IN_TIME, 500, new AttemptSummary(1, lastResponse));
    }

    private static Failed failedAfter(String lastResponse, Reason reason) {
        return new Failed(reason, true, new AttemptSummary(1, lastResponse));
    }

    /** The code of the only attempt, null while that is in flight. */
    private RequestOutcome outcomeOfRejectionAfter(Idempotency idempotency, ResponseCode code) {
        String key = "key " + idempotency + " " + code;
        long requestId = fixture.startRequest(10, idempotency.ordinal(), key);
        fixture.handle(new AttemptForwarded(requestId, 0));
        fixture.handle(new AttemptSent(requestId, 0));
        if (code != null) {
            fixture.handle(new AttemptCompleted(requestId, 0, code, null, false, "x"));
        }
        fixture.handle(new SchedulerRejectedRequest(requestId, 500, 9 * SECOND));
        return fixture.outcomeSentTo(10);
    }

    /** Within it, invokers drop duplicates of what may have run. */
    @Test
    void keyedRequestThatMayHaveRunIsRejectedWithinItsDeduplicationWindow() {
        RequestOutcome outcome = outcomeOfKeyedRejectionAfter(SECOND);
        assertInstanceOf(Rejected.class, outcome, outcome.toString());
    }

    @Test
    void keyedRequestThatMayHaveRunFailsAfterItsDeduplicationWindow() {
        RequestOutcome outcome =
                outcomeOfKeyedRejectionAfter(PendingRequestsFixture.WINDOW_MICROS + 1);
        assertInstanceOf(Failed.class, outcome, outcome.toString());
    }

    private static RequestOutcome outcomeOfKeyedRejectionAfter(long micros) {
        PendingRequestsFixture allDeduplicate =
                new PendingRequestsFixture(
                        9,
                        PendingRequestsFixture.requestClassOf(
                                Idempotency.KEYED, DeduplicationScope.ALL));
        long requestId = allDeduplicate.startRequest(1, 0, null);
        allDeduplicate.handle(new AttemptForwarded(requestId, 0));
        allDeduplicate.handle(new AttemptSent(requestId, 0));
        allDeduplicate.now += micros;
        allDeduplicate.handle(new SchedulerRejectedRequest(requestId, 0, -1));
        return allDeduplicate.outcomeSentTo(1);
    }

    @Test
    void requestThatTheSchedulerDidNotEndFailsJustBeforeItsDeadline() {
        long requestId = fixture.startRequest(1, NON_IDEMPOTENT, "a");
        fixture.handle(new AttemptForwarded(requestId, 0));
        fixture.handle(new AttemptSent(requestId, 0));
        fixture.now += 3 * SECOND - TICK / 2;
        fixture.handle(new DeadlineExpired(1));
        assertEquals(failedAfter("", Reason.DEADLINE_EXCEEDED), fixture.outcomeSentTo(1));
        assertEquals(requestId, fixture.onlyCommand(AbandonRequest.class).requestId());
    }

    private void startAsManyAsAreAdmitted() {
        fixture.startRequest(1, IDEMPOTENT, "a");
        fixture.startRequest(2, IDEMPOTENT, "b");
        fixture.startRequest(3, IDEMPOTENT, "c");
    }

    @Test
    void requestBeyondTheMaximumInFlightIsRejected() {
        startAsManyAsAreAdmitted();
        fixture.arrive(4, IDEMPOTENT, "d", SECOND);
        assertEquals(new Rejected(Reason.TOO_MANY_IN_FLIGHT, 0), fixture.outcomeSentTo(4));
    }

    @Test
    void duringShutdownRepeatsStillJoinAndNewRequestsAreRejected() {
        startAsManyAsAreAdmitted();
        fixture.handle(new ShutdownStarted());
        fixture.arrive(5, IDEMPOTENT, "a", SECOND);
        assertNull(fixture.outcomeSentTo(5));
        fixture.arrive(6, IDEMPOTENT, "e", SECOND);
        assertEquals(new Rejected(Reason.SHUTTING_DOWN, 0), fixture.outcomeSentTo(6));
    }

    @Test
    void endOfTheShutdownGraceRespondsToAllWaitingClients() {
        startAsManyAsAreAdmitted();
        fixture.handle(new ShutdownStarted());
        fixture.arrive(5, IDEMPOTENT, "a", SECOND);
        fixture.handle(new ShutdownGraceExpired());
        assertEquals(
                4, fixture.commands().stream().filter(RespondToClient.class::isInstance).count());
        assertEquals(0, fixture.pending.inFlight());
    }

    @Test
    void requestFailsAtOnceWhenTheSchedulerThrows() {
        long requestId = fixture.startRequest(1, NON_IDEMPOTENT, "a");
        fixture.handle(new SchedulerThrew(requestId));
        assertEquals(new Failed(Reason.INTERNAL_ERROR, false), fixture.outcomeSentTo(1));
    }

    /** Whatever events come in whatever order. */
    @Property(tries = 300, seed = "42")
    void everyClientGetsOneResponseBeforeItsDeadlineUnlessItLeft(@ForAll long seed) {
        RandomEventRun run = new RandomEventRun(fixture, seed);
        run.run(120);
        for (long client : run.clients()) {
            assertTrue(run.hasResponseOrDisconnected(client), "no response to client " + client);
        }
        assertEquals(0, fixture.pending.inFlight());
    }
}
