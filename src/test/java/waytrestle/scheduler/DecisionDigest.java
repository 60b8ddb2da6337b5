package waytrestle.scheduler;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import waytrestle.scheduler.SchedulerCommand.CheckHealth;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerCommand.SetTimer;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.HealthCheckCompleted;
import waytrestle.scheduler.SchedulerEvent.ListFreshnessChanged;
import waytrestle.scheduler.SchedulerEvent.PreloadCompleted;
import waytrestle.scheduler.SchedulerEvent.RequestReceived;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;

/**
 * Digests all commands that a scheduler issues for events drawn from a seed: requests, responses,
 * replaced, draining and restarted invokers, outages of discovery. Two builds decide alike where
 * their digests are equal. By hand, with the classes of either build on the class path: {@code
 * DecisionDigest INVOKERS REQUESTS FIRST_SEED SEEDS}.
 */
final class DecisionDigest {
    private static final int FUNCTIONS = 40;
    private static final int KINDS = 2;
    private static final int ZONES = 2;
    private static final long MAX_GAP_MICROS = 40_000;
    private static final long MAX_RUN_MICROS = 400_000;
    private static final ResponseCode[] FAILURES = {
        ResponseCode.ERROR, ResponseCode.FULL, ResponseCode.RESET,
        ResponseCode.CONNECT_FAILED, ResponseCode.NOT_LOADED, ResponseCode.TIMEOUT
    };

    /** An event that is due at a time. */
    private record Due(long atMicros, SchedulerEvent event) {}

    private final SplittableRandom draw;
    private final SchedulerFixture fixture = new SchedulerFixture();
    private final MessageDigest digest;
    private final List<Due> due = new ArrayList<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final int invokers;
    private int replaced;
    private long commands;

    private DecisionDigest(long seed, int invokers) throws Exception {
        this.draw = new SplittableRandom(seed);
        this.digest = MessageDigest.getInstance("SHA-256");
        this.invokers = invokers;
        fixture.reportsNotLoaded = draw.nextBoolean();
        fixture.mayCheckHealth = draw.nextBoolean();
        fixture.controllerCount = Math.max(1, invokers / 2);
        fixture.classCount = 2;
        fixture.idempotency = Idempotency.values()[draw.nextInt(Idempotency.values().length)];
        fixture.scheduler = new FinishTimeScheduler(fixture.settings(), seed);
    }

    private InvokerEndpoint endpoint(int number, EndpointState state, long startedAt) {
        return new InvokerEndpoint(
                "w" + number, number % ZONES, number / 6, number % KINDS, state, 1, startedAt);
    }

    private void feed(SchedulerEvent event) {
        for (SchedulerCommand command : fixture.feed(event)) {
            commands++;
            digest.update((fixture.now + " " + command + "\n").getBytes(StandardCharsets.UTF_8));
            answer(command);
        }
        fixture.commands.clear();
    }

    private void after(long micros, SchedulerEvent event) {
        due.add(new Due(fixture.now + micros, event));
    }

    private void answer(SchedulerCommand command) {
        long micros = draw.nextLong(1_000, MAX_RUN_MICROS);
        if (command instanceof SetTimer timer) {
            after(timer.afterMicros(), new TimerExpired(timer.timer()));
        } else if (command instanceof ForwardAttempt attempt) {
            after(micros, attemptCompleted(attempt, micros));
        } else if (command instanceof PreloadFunction preload) {
            boolean loaded = draw.nextInt(5) > 0;
            after(
                    micros,
                    new PreloadCompleted(
                            preload.invoker(),
                            preload.function(),
                            loaded ? ResponseCode.OK : ResponseCode.FULL,
                            micros,
                            loaded ? 1 : 0));
        } else if (command instanceof CheckHealth check) {
            ResponseCode code = draw.nextInt(6) > 0 ? ResponseCode.OK : ResponseCode.ERROR;
            after(
                    micros / 20,
                    new HealthCheckCompleted(
                            check.invoker(), code, micros / 20, Map.of(), fixture.now - micros));
        }
    }

    private SchedulerEvent attemptCompleted(ForwardAttempt attempt, long micros) {
        boolean ok = draw.nextInt(4) > 0;
        ResponseCode code = ok ? ResponseCode.OK : FAILURES[draw.nextInt(FAILURES.length)];
        Map<String, Double> report =
                draw.nextBoolean()
                        ? Map.of(LoadMetricNames.IN_FLIGHT, (double) draw.nextInt(6))
                        : Map.of();
        return new SchedulerEvent.AttemptCompleted(
                attempt.id(),
                attempts.merge(attempt.id(), 1, Integer::sum) - 1,
                attempt.invoker(),
                code,
                ok,
                micros,
                draw.nextBoolean() ? StartKind.WARM : StartKind.COLD,
                -1,
                report);
    }

    private void changeFleet() {
        int number = draw.nextInt(invokers);
        EndpointState[] states = EndpointState.values();
        List<InvokerEndpoint> changed = new ArrayList<>();
        changed.add(endpoint(number, states[draw.nextInt(states.length)], 0));
        changed.add(endpoint(draw.nextInt(invokers), EndpointState.READY, fixture.now));
        changed.add(endpoint(invokers + replaced++, EndpointState.READY, fixture.now));
        feed(new EndpointsUpdated(false, false, changed));
    }

    private void feedDue() {
        due.sort((a, b) -> Long.compare(a.atMicros(), b.atMicros()));
        long until = fixture.now;
        while (!due.isEmpty() && due.get(0).atMicros() <= until) {
            Due next = due.remove(0);
            fixture.now = next.atMicros();
            feed(next.event());
            due.sort((a, b) -> Long.compare(a.atMicros(), b.atMicros()));
        }
        fixture.now = until;
    }

    private String run(int requests) {
        List<InvokerEndpoint> all = new ArrayList<>();
        for (int i = 0; i < invokers; i++) {
            all.add(endpoint(i, EndpointState.READY, draw.nextInt(5) == 0 ? fixture.now : 0));
        }
        feed(new EndpointsUpdated(true, true, all));
        for (int id = 1; id <= requests; id++) {
            fixture.now += draw.nextLong(1, MAX_GAP_MICROS);
            feedDue();
            if (draw.nextInt(10) == 0) {
                changeFleet();
            }
            if (draw.nextInt(100) == 0) {
                long receivedAt =
                        draw.nextBoolean() ? ListFreshnessChanged.CURRENT : fixture.now - 300_000;
                feed(new ListFreshnessChanged(receivedAt, draw.nextBoolean()));
            }
            int function = Math.min(draw.nextInt(FUNCTIONS), draw.nextInt(FUNCTIONS));
            long loadMicros = draw.nextBoolean() ? 0 : 300_000;
            feed(
                    new RequestReceived(
                            id,
                            draw.nextInt(2),
                            -1,
                            "f" + function,
                            draw.nextLong(200_000, 4_000_000),
                            0,
                            300,
                            2,
                            loadMicros,
                            false,
                            false));
        }
        return commands + " commands " + HexFormat.of().formatHex(digest.digest(), 0, 8);
    }

    /** Prints one digest a seed. */
    public static void main(String[] args) throws Exception {
        int invokers = Integer.parseInt(args[0]);
        long first = Long.parseLong(args[2]);
        for (long seed = first; seed < first + Long.parseLong(args[3]); seed++) {
            String result = new DecisionDigest(seed, invokers).run(Integer.parseInt(args[1]));
            System.out.println(invokers + " invokers, seed " + seed + ": " + result);
        }
    }
}
