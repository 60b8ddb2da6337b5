package waytrestle.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import waytrestle.scheduler.AttemptState.Guess;
import waytrestle.stats.DecayingSum;

/**
 * A scheduler's state and a request to be routed in it, drawn from a seed: equal seeds give equal
 * states. Invokers are drawn with everything that bears on their choice.
 */
final class DrawnSelection {
    private static final int MAX_INVOKERS = 60;
    private static final int MAX_INVOKERS_OF_SMALL_FLEET = 4;
    private static final int FUNCTIONS = 4;
    private static final int ZONES = 2;
    private static final int CELLS = 3;
    private static final int KINDS = 2;
    private static final long NOW = 100_000_000;

    final SchedulerState state;
    final FinishTimeEstimate estimate;
    final InvokerBackoff backoff;
    final ReadinessLeases leases;
    final SlowStartBudget slowStart;
    final RetryRules retryRules;
    final RequestState request;

    private final SplittableRandom draw;
    private final List<InvokerState> invokers = new ArrayList<>();
    private final List<FunctionState> functions = new ArrayList<>();

    DrawnSelection(long seed) {
        draw = new SplittableRandom(seed);
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.mayCheckHealth = draw.nextBoolean();
        fixture.controllerCount = 1 + draw.nextInt(200);
        fixture.idempotency = Idempotency.values()[draw.nextInt(Idempotency.values().length)];
        fixture.deduplicationScope =
                DeduplicationScope.values()[draw.nextInt(DeduplicationScope.values().length)];
        state = new SchedulerState(fixture.settings(), draw.nextLong());
        state.now = NOW;
        estimate = new FinishTimeEstimate(state);
        backoff = new InvokerBackoff(state);
        leases = new ReadinessLeases(state);
        slowStart = new SlowStartBudget(state, estimate);
        retryRules = new RetryRules(state);
        drawAverages();
        drawFunctions();
        drawInvokers();
        drawListFreshness();
        request = drawRequest();
    }

    InvokerSelector selector() {
        return new InvokerSelector(state, estimate, backoff, leases, slowStart, retryRules);
    }

    PlainInvokerSelector plainSelector() {
        return new PlainInvokerSelector(state, estimate, backoff, leases, slowStart, retryRules);
    }

    private boolean chance(double probability) {
        return draw.nextDouble() < probability;
    }

    /** Returns a time up to two seconds before or after now. */
    private long timeNearNow() {
        return NOW + draw.nextLong(-2_000_000, 2_000_000);
    }

    private void drawAverages() {
        state.averageOtherRequests = chance(0.5) ? 0 : draw.nextDouble(5);
        state.averageQueuedRequests = chance(0.5) ? 0 : draw.nextDouble(3);
        state.averageRunMicros = chance(0.2) ? 0 : draw.nextDouble(300_000);
        state.averageLoadMicros = chance(0.3) ? 0 : draw.nextDouble(2_000_000);
        estimate.coldProbability = chance(0.2) ? 1 : draw.nextDouble();
        state.recentRequests.add(1 + draw.nextInt(500), NOW - draw.nextLong(5_000_000));
        for (int kind = 0; kind < KINDS; kind++) {
            state.servedRequestsByKind
                    .computeIfAbsent(
                            kind, absent -> new DecayingSum(FinishTimeEstimate.RATE_DECAY_MICROS))
                    .add(draw.nextInt(400), NOW - draw.nextLong(1_000_000));
        }
    }

    private void drawFunctions() {
        for (int i = 0; i < FUNCTIONS; i++) {
            FunctionState function =
                    new FunctionState("f" + i, draw.nextDouble(), state.keepAliveMicros());
            function.recentRequests.add(draw.nextInt(400), NOW - draw.nextLong(5_000_000));
            function.runMicros = chance(0.3) ? 0 : draw.nextDouble(400_000);
            function.declaredLoadMicros = chance(0.5) ? 0 : draw.nextLong(2_000_000);
            function.concurrencyPerInstance = 1 + draw.nextInt(3);
            functions.add(function);
            state.functions.put(function.id, function);
        }
    }

    private void drawInvokers() {
        int count = draw.nextInt(chance(0.2) ? MAX_INVOKERS_OF_SMALL_FLEET : MAX_INVOKERS + 1);
        for (int i = 0; i < count; i++) {
            InvokerState invoker =
                    state.invokers.findOrAdd("w" + draw.nextInt(1_000_000) + "-" + i);
            drawEndpoint(invoker);
            if (chance(0.6)) {
                drawLoad(invoker);
                drawFailures(invoker);
                drawInstances(invoker);
            }
            invokers.add(invoker);
        }
    }

    private void drawEndpoint(InvokerState invoker) {
        invoker.ready = chance(0.9);
        invoker.endpoint =
                new InvokerEndpoint(
                        invoker.id,
                        draw.nextInt(ZONES),
                        draw.nextInt(CELLS),
                        draw.nextInt(KINDS),
                        invoker.ready ? EndpointState.READY : EndpointState.DRAINING,
                        1,
                        0);
        if (chance(0.3)) {
            invoker.slowStartSince = NOW - draw.nextLong(12_000_000);
            long sentAt = NOW - 3_000_000;
            while (chance(0.6)) {
                sentAt += draw.nextLong(1_000_000);
                double size = 1 + draw.nextDouble();
                invoker.slowStartSends.add(
                        new InvokerState.SlowStartSend(Math.min(NOW, sentAt), size));
                invoker.slowStartSizeSum += size;
            }
        }
    }

    private void drawLoad(InvokerState invoker) {
        invoker.inFlight = draw.nextInt(4);
        invoker.warmInFlight = draw.nextInt(invoker.inFlight + 1);
        invoker.silentSince = NOW - draw.nextLong(1_000_000);
        invoker.loadingFunctions = chance(0.7) ? 0 : draw.nextInt(3);
        if (chance(0.5)) {
            invoker.slowness = draw.nextDouble(0.5, 4);
            invoker.averageUsualMicros = draw.nextDouble(300_000);
            invoker.averageConcurrentRequests = draw.nextDouble(4);
        }
        if (chance(0.5)) {
            invoker.queuedRequests = draw.nextDouble(6);
            invoker.otherRequests = draw.nextDouble(6);
            invoker.loadReportedAt = NOW - draw.nextLong(8_000_000);
        }
    }

    private void drawFailures(InvokerState invoker) {
        if (chance(0.3)) {
            state.failureShareOf(invoker, draw.nextInt(2) - 1).add(draw.nextDouble(), NOW - 1_000);
        }
        invoker.fullUntil = chance(0.7) ? 0 : timeNearNow();
        invoker.noLoadsUntil = chance(0.7) ? 0 : timeNearNow();
        invoker.pausedUntil = chance(0.8) ? 0 : timeNearNow();
        invoker.consecutiveFailures = chance(0.8) ? 0 : 1;
        ReadinessLease lease = invoker.readinessLease;
        lease.expiresAt = chance(0.5) ? 0 : timeNearNow();
        lease.nextCheckAt = chance(0.7) ? 0 : timeNearNow();
        lease.checkSentAt = chance(0.7) ? 0 : NOW - draw.nextLong(100_000);
    }

    private void drawInstances(InvokerState invoker) {
        for (FunctionState function : functions) {
            if (chance(0.6)) {
                continue;
            }
            FunctionInstance instance =
                    new FunctionInstance(function, NOW - draw.nextLong(2_000_000));
            instance.loadingSince = chance(0.7) ? 0 : instance.loadingSince;
            instance.lastUsedAt = NOW - draw.nextLong(12_000_000);
            instance.count = 1 + draw.nextInt(2);
            instance.inFlight = draw.nextInt(3);
            instance.otherRequests = draw.nextDouble(3);
            instance.loadProbability = draw.nextDouble();
            invoker.instances.put(function.id, instance);
        }
    }

    private void drawListFreshness() {
        if (chance(0.4)) {
            leases.freshnessChanged(
                    new SchedulerEvent.ListFreshnessChanged(timeNearNow(), draw.nextBoolean()));
        }
    }

    private RequestState drawRequest() {
        RequestState drawn =
                new RequestState(
                        1,
                        state.settings.classes().get(0),
                        /* scope= */ -1,
                        functions.get(draw.nextInt(FUNCTIONS)),
                        NOW - draw.nextLong(1_000_000),
                        3_000_000);
        while (!invokers.isEmpty() && chance(0.4)) {
            InvokerState invoker = invokers.get(draw.nextInt(invokers.size()));
            FunctionInstance instance = new FunctionInstance(drawn.function, NOW - 500_000);
            AttemptState attempt =
                    new AttemptState(invoker, instance, true, Guess.NONE, 0, NOW - 500_000);
            drawn.attempts.add(attempt);
            if (chance(0.5)) {
                drawn.excludedInvokers.add(invoker);
            }
            if (!drawn.mayHaveRun && chance(0.5)) {
                drawn.bindTo(attempt);
            }
        }
        return drawn;
    }
}
