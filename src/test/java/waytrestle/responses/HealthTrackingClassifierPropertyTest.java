package waytrestle.responses;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.responses.ClassifierFixture.CONNECTION_LOST;
import static waytrestle.responses.ClassifierFixture.DECLARED_CONCURRENCY;
import static waytrestle.responses.ClassifierFixture.MICROS_PER_SECOND;
import static waytrestle.responses.ClassifierFixture.SERVED;
import static waytrestle.responses.ClassifierFixture.readyInvokers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import waytrestle.responses.ClassifierCommand.AdmitRequest;
import waytrestle.responses.ClassifierCommand.CompleteAttempt;
import waytrestle.responses.ClassifierCommand.ForwardAttempt;
import waytrestle.responses.ClassifierEvent.AttemptCompleted;
import waytrestle.responses.ClassifierEvent.AttemptRequested;
import waytrestle.responses.ClassifierEvent.RequestCompleted;
import waytrestle.responses.ClassifierEvent.RequestStarted;
import waytrestle.responses.ClassifierEvent.TimerExpired;
import waytrestle.responses.ExchangeResult.Kind;
import waytrestle.scheduler.LoadReportSource;
import waytrestle.scheduler.StartKind;

/** Tests invariants of the classifier for random orders of events. */
class HealthTrackingClassifierPropertyTest {
    private static final int STEPS = 400;
    private static final int INVOKERS = 7;
    private static final int FUNCTIONS = 12;
    private static final int MAX_FUNCTIONS = 8;
    private static final int CONTROLLERS = 3;
    private static final long MAX_STEP_MICROS = 20_000;
    private static final int[] STATUSES = {200, 400, 404, 500, 503};

    /** A random order of events, with the requests and attempts that are open in it. */
    private static final class RandomEvents {
        final Random random;
        final HealthTrackingClassifier classifier;
        final List<AttemptKey> inFlight = new ArrayList<>();
        final List<Long> openRequests = new ArrayList<>();
        final Map<Long, Integer> attempts = new HashMap<>();
        final List<ClassifierCommand> commands = new ArrayList<>();
        long nowMicros = MICROS_PER_SECOND;

        RandomEvents(Random random) {
            this.random = random;
            this.classifier =
                    new HealthTrackingClassifier(
                            ClassifierFixture.settings(MAX_FUNCTIONS),
                            ClassifierFixture.preloading(random.nextBoolean()),
                            LoadReportSource.RESPONSES,
                            CONTROLLERS);
        }

        void handle(ClassifierEvent event) {
            classifier.handle(nowMicros, event, commands::add);
        }

        void step(int number) {
            nowMicros += random.nextInt((int) MAX_STEP_MICROS);
            commands.clear();
            int choice = random.nextInt(10);
            if (choice < 3) {
                startRequest(number);
            } else if (choice < 6 && !openRequests.isEmpty()) {
                startAttempt();
            } else if (choice < 9 && !inFlight.isEmpty()) {
                completeAttempt();
            } else if (!openRequests.isEmpty()) {
                handle(new RequestCompleted(openRequests.remove(0), false));
            }
        }

        private void startRequest(long requestId) {
            String function = "f" + random.nextInt(FUNCTIONS);
            handle(new RequestStarted(requestId, function, DECLARED_CONCURRENCY, 0, 0));
            if (commands.get(0) instanceof AdmitRequest) {
                openRequests.add(requestId);
            }
        }

        private void startAttempt() {
            long requestId = openRequests.get(random.nextInt(openRequests.size()));
            int attempt = attempts.merge(requestId, 1, Integer::sum) - 1;
            handle(new AttemptRequested(requestId, attempt, "i" + random.nextInt(INVOKERS)));
            if (commands.get(0) instanceof ForwardAttempt) {
                inFlight.add(new AttemptKey(requestId, attempt));
            }
        }

        private void completeAttempt() {
            AttemptKey key = inFlight.remove(random.nextInt(inFlight.size()));
            int status = STATUSES[random.nextInt(STATUSES.length)];
            ExchangeResult result =
                    status == 200 ? SERVED : new ExchangeResult(Kind.STATUS, status);
            handle(new AttemptCompleted(key.requestId(), key.attempt(), result, randomReport()));
            List<CompleteAttempt> completions =
                    commands.stream()
                            .filter(CompleteAttempt.class::isInstance)
                            .map(CompleteAttempt.class::cast)
                            .toList();
            assertEquals(1, completions.size());
            boolean endsRequest = completions.get(0).classification().endsRequest();
            if (endsRequest && openRequests.remove(Long.valueOf(key.requestId()))) {
                boolean functionResponded = status == 200 || status == 400;
                handle(new RequestCompleted(key.requestId(), functionResponded));
            }
        }

        private InvokerLoadReport randomReport() {
            StartKind start = StartKind.values()[random.nextInt(StartKind.values().length)];
            int concurrency = random.nextInt();
            double inFlightReported = random.nextGaussian() * 1e3;
            return new InvokerLoadReport(start, concurrency, Map.of("inflight", inFlightReported));
        }

        void completeAll() {
            for (AttemptKey key : inFlight) {
                handle(
                        new AttemptCompleted(
                                key.requestId(),
                                key.attempt(),
                                CONNECTION_LOST,
                                InvokerLoadReport.EMPTY));
            }
            for (long requestId : openRequests) {
                handle(new RequestCompleted(requestId, false));
            }
        }
    }

    @Property(tries = 200)
    void randomEventsClassifyEachAttemptOnceWithBoundedEjectionsAndNoRetainedEntries(
            @ForAll Random random) {
        RandomEvents events = new RandomEvents(random);
        events.handle(readyInvokers(INVOKERS));
        for (int step = 0; step < STEPS; step++) {
            events.step(step);
            assertTrue(
                    events.classifier.ejectedInvokers() <= 2,
                    "more than 2 of 7 invokers are ejected at a highest share of 0.3");
            events.handle(new TimerExpired());
        }
        events.completeAll();
        assertEquals(0, events.classifier.retainedEntries());
    }
}
