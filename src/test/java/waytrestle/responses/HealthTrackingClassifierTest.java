package waytrestle.responses;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import waytrestle.responses.ClassifierCommand.AdmitRequest;
import waytrestle.responses.ClassifierCommand.CompleteAttempt;
import waytrestle.responses.ClassifierCommand.ForwardAttempt;
import waytrestle.responses.ClassifierCommand.RejectFast;
import waytrestle.responses.ClassifierCommand.ReportEjection;
import waytrestle.responses.ClassifierCommand.WithholdAttempt;
import waytrestle.responses.ClassifierEvent.AttemptCompleted;
import waytrestle.responses.ClassifierEvent.AttemptRequested;
import waytrestle.responses.ClassifierEvent.RequestCompleted;
import waytrestle.responses.ClassifierEvent.RequestStarted;
import waytrestle.responses.ExchangeResult.Kind;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.LoadReportSource;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerSettings.Preloading;
import waytrestle.scheduler.StartKind;

/** Who is blamed for what, and what of what invokers say is believed. */
class HealthTrackingClassifierTest {
    private static final long MS = 1_000, SECOND = 1_000_000;
    private static final ExchangeResult OK = ExchangeResult.of(Kind.RESPONSE),
            ERR = new ExchangeResult(Kind.STATUS, 500),
            BAD = new ExchangeResult(Kind.STATUS, 400);

    private static Preloading loading(boolean missAnswers) {
        return new Preloading(
                missAnswers, true, true, true, 10 * SECOND, SECOND, 0, 0, 0, 0, List.of(1e4));
    }

    private final HealthTrackingClassifier outcomes =
            new HealthTrackingClassifier(
                    new HealthTrackingClassifier.Settings(2, 2, 0.3, 5, 250 * MS, 2 * SECOND, 100),
                    loading(false),
                    LoadReportSource.RESPONSES,
                    1);
    private final List<ClassifierCommand> last = new ArrayList<>();
    private long now = SECOND, calls;

    private List<ClassifierCommand> on(ClassifierEvent event) {
        last.clear();
        outcomes.handle(now, event, last::add);
        return List.copyOf(last);
    }

    private <T extends ClassifierCommand> T find(Class<T> type) {
        return last.stream().filter(type::isInstance).map(type::cast).findFirst().orElse(null);
    }

    private void fleet(int size) {
        List<InvokerEndpoint> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(new InvokerEndpoint("i" + i, 0, 0, 0, EndpointState.READY, 1, 0));
        }
        on(new ClassifierEvent.EndpointListReceived(new EndpointsUpdated(true, false, all)));
    }

    private Classification attempt(
            long call,
            int attempt,
            String invoker,
            ExchangeResult reply,
            long took,
            InvokerLoadReport told) {
        on(new AttemptRequested(call, attempt, invoker));
        if (find(WithholdAttempt.class) != null) {
            return null;
        }
        now += took;
        on(new AttemptCompleted(call, attempt, reply, told));
        return find(CompleteAttempt.class).classification();
    }

    /** A call tried at these invokers until a verdict ends it; null where it was not let in. */
    private Classification call(String function, Object... invokersAndReplies) {
        long id = ++calls;
        on(new RequestStarted(id, function, 2, 0, 0));
        if (find(RejectFast.class) != null) {
            return null;
        }
        Classification verdict = null;
        for (int i = 0;
                i < invokersAndReplies.length && (verdict == null || !verdict.endsRequest());
                i += 2) {
            verdict =
                    attempt(
                            id,
                            i / 2,
                            (String) invokersAndReplies[i],
                            (ExchangeResult) invokersAndReplies[i + 1],
                            10 * MS,
                            InvokerLoadReport.EMPTY);
        }
        List<ClassifierCommand> before = List.copyOf(last);
        outcomes.handle(
                now,
                new RequestCompleted(
                        id,
                        verdict != null
                                && (verdict.code() == ResponseCode.OK
                                        || verdict.code() == ResponseCode.REJECTED)),
                last::add);
        last.addAll(0, before);
        return verdict;
    }

    @Test
    void aRejectionEndsTheCallAtOnceAndIsHeldAgainstNobody() {
        fleet(3);
        for (int i = 0; i < 50; i++) {
            Classification v = call("f", "i0", BAD);
            assertTrue(v.endsRequest() && v.functionError() && v.code() == ResponseCode.REJECTED);
        }
        assertEquals(0, outcomes.ejectedInvokers() + outcomes.openCircuits());
        assertEquals(0, outcomes.retainedEntries());
    }

    @Test
    void aFailureEndsTheCallWhenTwoInvokersAgreeAndNotBefore() {
        fleet(3);
        assertFalse(call("f", "i0", ERR).endsRequest());
        Classification v = call("g", "i0", ERR, "i1", ERR);
        assertTrue(v.endsRequest() && v.functionError() && v.code() == ResponseCode.ERROR);
        Classification mixed = call("h", "i0", ERR, "i1", ExchangeResult.of(Kind.CONNECTION_LOST));
        assertFalse(mixed.endsRequest(), "they do not agree");
        assertTrue(
                call(
                                "k",
                                "i0",
                                ERR,
                                "i1",
                                ExchangeResult.of(Kind.CONNECTION_LOST),
                                "i2",
                                ExchangeResult.of(Kind.MALFORMED))
                        .endsRequest(),
                "yet thrice is enough");
    }

    @Test
    void aFunctionThatFailsEverywhereIsAnsweredForAndProbedByOneCallAtATime() {
        fleet(4);
        for (int i = 0; i < 5; i++) {
            assertNotNull(call("f", "i0", ERR, "i1", ERR));
        }
        assertEquals(null, call("f", "i0", OK));
        assertEquals("500", find(RejectFast.class).lastResult().text());
        assertNotNull(call("g", "i0", OK), "others go on");
        assertEquals(1, outcomes.openCircuits());
        now += 260 * MS;
        on(new RequestStarted(900, "f", 2, 0, 0));
        assertNotNull(find(AdmitRequest.class), "the probe");
        on(new RequestStarted(901, "f", 2, 0, 0));
        assertNotNull(find(RejectFast.class), "one at a time");
        on(new RequestCompleted(900, false)); // it left without a word
        on(new RequestStarted(902, "f", 2, 0, 0));
        assertNotNull(find(AdmitRequest.class), "so the next may try");
        attempt(902, 0, "i0", ERR, MS, InvokerLoadReport.EMPTY);
        on(new RequestCompleted(902, false));
        on(new RequestStarted(903, "f", 2, 0, 0));
        assertTrue(find(RejectFast.class).retryAfterMicros() > 400 * MS, "the pause doubles");
        now += 600 * MS;
        assertTrue(call("f", "i2", OK).endsRequest());
        assertEquals(0, outcomes.openCircuits());
        assertEquals(0, outcomes.ejectedInvokers(), "its healing is held against no invoker");
        assertEquals(0, outcomes.retainedEntries());
    }

    @Test
    void aFunctionThatFailsNowAndThenIsNotAnsweredFor() {
        fleet(4);
        Random random = new Random(3);
        for (int i = 0; i < 2_000; i++) {
            ExchangeResult first = random.nextInt(10) < 3 ? ERR : OK;
            call(
                    "f",
                    "i" + random.nextInt(4),
                    first,
                    "i" + random.nextInt(4),
                    random.nextInt(10) < 3 ? ERR : OK);
        }
        assertEquals(0, outcomes.ejectedInvokers(), "flaky everywhere alike");
        assertEquals(0, outcomes.openCircuits());
    }

    @Test
    void anInvokerThatAloneErrsIsSentOffForABoundedWhileAndShare() {
        fleet(10);
        int sentOff = 0;
        for (int i = 0; i < 400; i++) {
            String bad = "i" + i % 6; // six of ten err, three may be sent off
            call("f" + i % 7, bad, ERR, "i" + (6 + i % 4), OK);
            sentOff += find(ReportEjection.class) != null ? 1 : 0;
        }
        assertEquals(3, sentOff);
        assertEquals(3, outcomes.ejectedInvokers());
        assertEquals(0, outcomes.openCircuits());
        now += 4 * SECOND;
        on(new ClassifierEvent.TimerExpired());
        assertEquals(0, outcomes.ejectedInvokers());
        assertEquals(
                EndpointState.READY,
                find(ClassifierCommand.UpdateEndpoints.class).update().entries().get(0).state());
        call("new", "i0", ERR, "i7", OK);
        assertTrue(
                find(ReportEjection.class) != null
                        && find(ReportEjection.class).durationMicros() > 5 * SECOND,
                "again, and for longer");
    }

    @Test
    void aSentOffInvokerStaysSoInEveryListAndARestartClearsIt() {
        fleet(4);
        for (int i = 0; i < 10; i++) {
            call("f" + i, "i0", ERR, "i1", OK);
        }
        assertEquals(1, outcomes.ejectedInvokers());
        fleet(4);
        assertEquals(
                EndpointState.DRAINING,
                find(ClassifierCommand.UpdateEndpoints.class).update().entries().get(0).state());
        on(
                new ClassifierEvent.EndpointListReceived(
                        new EndpointsUpdated(
                                false,
                                false,
                                List.of(
                                        new InvokerEndpoint(
                                                "i0", 0, 0, 0, EndpointState.READY, 1, now)))));
        assertEquals(
                EndpointState.READY,
                find(ClassifierCommand.UpdateEndpoints.class).update().entries().get(0).state());
    }

    @Test
    void bothAtOnceAreToldApart() {
        fleet(6);
        for (int i = 0; i < 40; i++) {
            call("ill", "i" + (1 + i % 5), ERR, "i" + (1 + (i + 1) % 5), ERR);
            call("f" + i % 5, "i0", ERR, "i" + (1 + i % 5), OK);
            now += 20 * MS;
        }
        assertEquals(1, outcomes.openCircuits());
        assertEquals(1, outcomes.ejectedInvokers());
        assertNotNull(call("f1", "i2", OK));
    }

    @Test
    void oneInvokerThatRejectsWhatOthersTakeIsSentOffYetBadInputIsNot() {
        fleet(4);
        for (int i = 0; i < 60; i++) {
            call("f", "i" + i % 4, OK);
        }
        for (int i = 0; i < 60; i++) {
            call("f", "i" + i % 4, i % 4 == 0 ? BAD : OK);
            now += 20 * MS;
        }
        assertEquals(1, outcomes.ejectedInvokers());
        now += 60 * SECOND;
        on(new ClassifierEvent.TimerExpired());
        for (int i = 0; i < 400; i++) {
            call("g", "i" + i % 4, i > 100 ? BAD : OK);
            now += 5 * MS;
        }
        assertEquals(0, outcomes.ejectedInvokers(), "they all reject: it is the input");
    }

    @Test
    void absenceNeedsTwoWordsAndAFunctionServedLatelyIsNotAbsent() {
        fleet(3);
        ExchangeResult none = new ExchangeResult(Kind.STATUS, 404);
        Classification v = call("f", "i0", none, "i1", none);
        assertTrue(v.endsRequest() && v.functionNotFound() && v.code() == ResponseCode.NOT_LOADED);
        assertFalse(
                call("g", "i0", none, "i0", none).endsRequest(), "the same one twice is one word");
        call("h", "i2", OK);
        assertFalse(call("h", "i0", none, "i1", none).endsRequest());
        on(new RequestStarted(800, "k", 2, 0, 0));
        attempt(800, 0, "i0", none, MS, InvokerLoadReport.EMPTY);
        on(new ClassifierEvent.PreloadCompleted("i0", "k", none, -1, MS, 0));
        assertEquals(
                800,
                find(ClassifierCommand.FailFunctionNotFound.class).requestId(),
                "a load refused as unknown is a word too");
        Classification failed = call("m", "i0", none);
        assertFalse(failed.endsRequest());
    }

    @Test
    void attemptsOverCallsAreBoundedWhateverEndsThem() {
        fleet(5);
        int went = 0;
        for (int i = 0; i < 1_000; i++) {
            long id = ++calls;
            on(new RequestStarted(id, "f", 2, 0, 0));
            for (int k = 0; k < 5; k++) {
                on(new AttemptRequested(id, k, "i" + k));
                if (find(ForwardAttempt.class) != null) {
                    went++;
                    on(
                            new AttemptCompleted(
                                    id,
                                    k,
                                    new ExchangeResult(Kind.STATUS, 503),
                                    InvokerLoadReport.EMPTY));
                }
            }
            on(new RequestCompleted(id, false));
            now += MS;
        }
        assertTrue(went >= 1_900 && went <= 2_030, went + " for 1,000 calls at 2 a call");
    }

    private InvokerLoadReport served(
            String function, String invoker, long took, InvokerLoadReport told) {
        long id = ++calls;
        on(new RequestStarted(id, function, 2, 100 * MS, 0));
        attempt(id, 0, invoker, OK, took, told);
        InvokerLoadReport believed = find(CompleteAttempt.class).loadReport();
        on(new RequestCompleted(id, true));
        return believed;
    }

    @Test
    void aReportThatCannotBeSoIsNone() {
        fleet(2);
        for (int i = 0; i < 20; i++) {
            served(
                    "f",
                    "i0",
                    10 * MS,
                    new InvokerLoadReport(
                            StartKind.WARM, 0, Map.of("inflight", 2.0, "queue", 1.0)));
        }
        for (Map<String, Double> wrong :
                List.of(
                        Map.of("inflight", -1.0),
                        Map.of("inflight", 1e9),
                        Map.of("inflight", 500.0),
                        Map.of("inflight", 1.0, "queue", 9.0))) {
            assertEquals(
                    Map.of(),
                    served("f", "i1", 10 * MS, new InvokerLoadReport(StartKind.WARM, -1, wrong))
                            .metrics(),
                    wrong.toString());
        }
        assertEquals(
                -1,
                served(
                                "f",
                                "i0",
                                10 * MS,
                                new InvokerLoadReport(StartKind.WARM, 90, Map.of("inflight", 2.0)))
                        .concurrentRequests());
        assertEquals(
                2,
                served(
                                "f",
                                "i0",
                                10 * MS,
                                new InvokerLoadReport(StartKind.WARM, 2, Map.of("inflight", 2.0)))
                        .concurrentRequests());
    }

    @Test
    void aStartThatTheTimeRefutesIsUnknown() {
        fleet(2);
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    StartKind.WARM,
                    served("f", "i0", 10 * MS, new InvokerLoadReport(StartKind.WARM, -1, Map.of()))
                            .start());
        }
        assertEquals(
                StartKind.UNKNOWN,
                served("f", "i0", 10 * MS, new InvokerLoadReport(StartKind.COLD, -1, Map.of()))
                        .start());
        assertEquals(
                StartKind.COLD,
                served("f", "i1", 110 * MS, new InvokerLoadReport(StartKind.COLD, -1, Map.of()))
                        .start());
        assertEquals(
                StartKind.UNKNOWN,
                served("g", "i1", 10 * MS, new InvokerLoadReport(StartKind.UNKNOWN, -1, Map.of()))
                        .start());
        Map<String, Long> broken = new HashMap<>();
        outcomes.capabilities(
                (invoker, promise, untold, kept, wrong) -> broken.put(invoker + promise, wrong));
        assertEquals(1, broken.get("i0START"));
        boolean warned = false;
        for (int i = 0; i < 30; i++) {
            served("f", "i0", 10 * MS, new InvokerLoadReport(StartKind.COLD, -1, Map.of()));
            warned |= find(ClassifierCommand.WarnOfCapability.class) != null;
        }
        assertEquals(
                StartKind.UNKNOWN,
                served("f", "i0", 10 * MS, new InvokerLoadReport(StartKind.WARM, -1, Map.of()))
                        .start(),
                "no word of it counts");
    }

    @Test
    void lanesAndLoadTimesToldWronglyAreCorrectedByAnswers() {
        fleet(2);
        for (int round = 0; round < 30; round++) {
            for (int k = 1;
                    k <= 6;
                    k++) { // six at once take no longer than one: more lanes than the two told
                for (int i = 0; i < k; i++) {
                    on(new RequestStarted(10_000 + round * 100 + k * 10 + i, "wide", 2, 0, 0));
                    on(new AttemptRequested(10_000 + round * 100 + k * 10 + i, 0, "i0"));
                }
                now += 10 * MS;
                for (int i = 0; i < k; i++) {
                    on(
                            new AttemptCompleted(
                                    10_000 + round * 100 + k * 10 + i,
                                    0,
                                    OK,
                                    InvokerLoadReport.EMPTY));
                    on(new RequestCompleted(10_000 + round * 100 + k * 10 + i, true));
                }
            }
            for (int k = 1; k <= 4; k++) { // one after the other: fewer lanes than the eight told
                for (int i = 0; i < k; i++) {
                    on(new RequestStarted(20_000 + round * 100 + k * 10 + i, "narrow", 8, 0, 0));
                    on(new AttemptRequested(20_000 + round * 100 + k * 10 + i, 0, "i1"));
                }
                for (int i = 0; i < k; i++) {
                    now += 10 * MS;
                    on(
                            new AttemptCompleted(
                                    20_000 + round * 100 + k * 10 + i,
                                    0,
                                    OK,
                                    InvokerLoadReport.EMPTY));
                    on(new RequestCompleted(20_000 + round * 100 + k * 10 + i, true));
                }
            }
            on(new ClassifierEvent.PreloadCompleted("i0", "wide", OK, 1, 900 * MS, 100 * MS));
        }
        on(new RequestStarted(1, "wide", 2, 100 * MS, 0));
        assertEquals(6, find(AdmitRequest.class).concurrencyPerInstance());
        assertEquals(900 * MS, find(AdmitRequest.class).loadMicros(), 10 * MS);
        on(new RequestStarted(2, "narrow", 8, 0, 0));
        assertEquals(1, find(AdmitRequest.class).concurrencyPerInstance());
        on(new RequestStarted(3, "new", 8, 70 * MS, 0));
        assertEquals(8, find(AdmitRequest.class).concurrencyPerInstance());
        assertEquals(70 * MS, find(AdmitRequest.class).loadMicros());
    }

    /**
     * Any order of events: one judgement an end, the ejected within their share, and nothing held
     * at the end.
     */
    @Property(tries = 200)
    void everyEndIsJudgedOnceAndNothingIsHeld(@ForAll Random random) {
        HealthTrackingClassifier any =
                new HealthTrackingClassifier(
                        new HealthTrackingClassifier.Settings(
                                2, 2, 0.3, 5, 250 * MS, 2 * SECOND, 8),
                        loading(random.nextBoolean()),
                        LoadReportSource.RESPONSES,
                        3);
        List<ClassifierCommand> seen = new ArrayList<>();
        List<InvokerEndpoint> fleet = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            fleet.add(new InvokerEndpoint("i" + i, 0, 0, 0, EndpointState.READY, 1, 0));
        }
        long at = SECOND;
        any.handle(
                at,
                new ClassifierEvent.EndpointListReceived(new EndpointsUpdated(true, false, fleet)),
                seen::add);
        List<long[]> out = new ArrayList<>();
        List<Long> open = new ArrayList<>();
        Map<Long, Integer> tries = new HashMap<>();
        int[] statuses = {200, 400, 404, 500, 503};
        for (int step = 0; step < 400; step++) {
            at += random.nextInt(20_000);
            seen.clear();
            int what = random.nextInt(10);
            if (what < 3) {
                any.handle(
                        at, new RequestStarted(step, "f" + random.nextInt(12), 2, 0, 0), seen::add);
                if (seen.get(0) instanceof AdmitRequest) {
                    open.add((long) step);
                }
            } else if (what < 6 && !open.isEmpty()) {
                long id = open.get(random.nextInt(open.size()));
                int attempt = tries.merge(id, 1, Integer::sum) - 1;
                any.handle(
                        at, new AttemptRequested(id, attempt, "i" + random.nextInt(7)), seen::add);
                if (seen.get(0) instanceof ForwardAttempt) {
                    out.add(new long[] {id, attempt});
                }
            } else if (what < 9 && !out.isEmpty()) {
                long[] a = out.remove(random.nextInt(out.size()));
                int status = statuses[random.nextInt(statuses.length)];
                any.handle(
                        at,
                        new AttemptCompleted(
                                a[0],
                                (int) a[1],
                                status == 200 ? OK : new ExchangeResult(Kind.STATUS, status),
                                new InvokerLoadReport(
                                        StartKind.values()[random.nextInt(5)],
                                        random.nextInt(),
                                        Map.of("inflight", random.nextGaussian() * 1e3))),
                        seen::add);
                List<CompleteAttempt> all =
                        seen.stream()
                                .filter(x -> x instanceof CompleteAttempt)
                                .map(x -> (CompleteAttempt) x)
                                .toList();
                assertEquals(1, all.size());
                CompleteAttempt judged = all.get(0);
                if (judged.classification().endsRequest() && open.remove((Long) a[0])) {
                    any.handle(
                            at,
                            new RequestCompleted(a[0], status == 200 || status == 400),
                            seen::add);
                }
            } else if (!open.isEmpty()) {
                any.handle(at, new RequestCompleted(open.remove(0), false), seen::add);
            }
            assertTrue(any.ejectedInvokers() <= 2, "a third of seven");
            any.handle(at, new ClassifierEvent.TimerExpired(), seen::add);
        }
        for (long[] a : out) {
            any.handle(
                    at,
                    new AttemptCompleted(
                            a[0],
                            (int) a[1],
                            ExchangeResult.of(Kind.CONNECTION_LOST),
                            InvokerLoadReport.EMPTY),
                    seen::add);
        }
        for (long id : open) {
            any.handle(at, new RequestCompleted(id, false), seen::add);
        }
        assertEquals(0, any.retainedEntries());
    }
}
