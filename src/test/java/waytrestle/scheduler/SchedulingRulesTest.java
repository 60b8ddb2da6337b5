package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import waytrestle.scheduler.SchedulerCommand.FailRequest;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerCommand.RejectRequest;
import waytrestle.scheduler.SchedulerCommand.SetTimer;
import waytrestle.scheduler.SchedulerEvent.AttemptCompleted;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.PreloadCompleted;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;

/** Seeded random event streams; the rules are checked on every action. */
class SchedulingRulesTest {
    private static final class Track {
        int attempts;
        int out;
        int ends;
        int cell = -1;
        boolean unproved;
        long firstUnproved;
        long deadline;
        boolean over;
        final List<Long> sentAt = new ArrayList<>();
        final List<Integer> cells = new ArrayList<>();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void rulesHoldOnRandomStreams(long seed) {
        SplittableRandom dice = new SplittableRandom(seed);
        SchedulerFixture bed = new SchedulerFixture();
        bed.repeat = Idempotency.values()[(int) (seed % 3)];
        bed.missAnswers = seed % 2 == 0;
        bed.loadPeriod = seed % 4 < 2 ? 1_000_000 : 0;
        bed.freeLoads = 3;
        bed.loadRatio = 0.2;
        Map<String, EndpointState> told = new TreeMap<>();
        Map<String, Integer> cell = new HashMap<>();
        List<InvokerEndpoint> first = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            InvokerEndpoint invoker =
                    new InvokerEndpoint("w" + i, 0, i % 2, 0, EndpointState.READY, 1, 0);
            first.add(invoker);
            told.put(invoker.id(), EndpointState.READY);
            cell.put(invoker.id(), i % 2);
        }
        bed.start(first.toArray(new InvokerEndpoint[0]));
        Map<Long, Track> tracks = new TreeMap<>();
        TreeMap<Long, List<SchedulerTimer>> timers = new TreeMap<>();
        List<Object[]> out = new ArrayList<>();
        List<PreloadFunction> orders = new ArrayList<>();
        List<Long> orderTimes = new ArrayList<>();
        List<Long> arrivals = new ArrayList<>();
        long id = 0;
        int checked = 0;
        for (int step = 0; step < 6_000; step++) {
            bed.now += 1 + dice.nextInt(8_000);
            List<SchedulerCommand> actions = new ArrayList<>();
            int what = dice.nextInt(20);
            if (what < 8) {
                Track track = new Track();
                long left = 200_000 + dice.nextInt(1_500_000);
                track.deadline = bed.now + left;
                tracks.put(++id, track);
                arrivals.add(bed.now);
                actions.addAll(
                        bed.request(id, "f" + dice.nextInt(12), left, dice.nextInt(2) * 300_000));
            } else if (what < 16 && !out.isEmpty()) {
                Object[] attempt = out.remove(dice.nextInt(out.size()));
                long request = (Long) attempt[0];
                int number = (Integer) attempt[1];
                Track track = tracks.get(request);
                ResponseCode code =
                        ResponseCode.values()[dice.nextInt(ResponseCode.values().length)];
                boolean proved =
                        code == ResponseCode.FULL
                                || code == ResponseCode.CONNECT_FAILED
                                || code == ResponseCode.NOT_SENT
                                || code == ResponseCode.NOT_LOADED;
                track.out--;
                if (!proved && !track.unproved) {
                    track.unproved = true;
                    track.firstUnproved = track.sentAt.get(number);
                    track.cell = track.cells.get(number);
                }
                boolean last = code == ResponseCode.OK || track.over;
                track.ends += code == ResponseCode.OK && !track.over ? 1 : 0;
                track.over |= last;
                actions.addAll(
                        bed.feed(
                                new AttemptCompleted(
                                        request,
                                        number,
                                        (String) attempt[2],
                                        code,
                                        last,
                                        50_000,
                                        StartKind.values()[dice.nextInt(5)],
                                        -1,
                                        Map.of())));
            } else if (what < 18 && !orders.isEmpty()) {
                PreloadFunction order = orders.remove(dice.nextInt(orders.size()));
                ResponseCode code =
                        dice.nextInt(4) == 0
                                ? ResponseCode.values()[1 + dice.nextInt(5)]
                                : ResponseCode.OK;
                actions.addAll(
                        bed.feed(
                                new PreloadCompleted(
                                        order.invoker(),
                                        order.function(),
                                        code,
                                        dice.nextInt(400_000),
                                        code == ResponseCode.OK
                                                ? Math.max(order.instances(), dice.nextInt(2))
                                                : 0)));
            } else if (what == 18) {
                String w = "w" + dice.nextInt(6);
                EndpointState state = EndpointState.values()[dice.nextInt(3)];
                told.put(w, state);
                actions.addAll(
                        bed.feed(
                                new EndpointsUpdated(
                                        false,
                                        false,
                                        List.of(
                                                new InvokerEndpoint(
                                                        w,
                                                        0,
                                                        cell.get(w),
                                                        0,
                                                        state,
                                                        1,
                                                        dice.nextInt(2) * bed.now)))));
            }
            while (!timers.isEmpty() && timers.firstKey() <= bed.now) {
                for (SchedulerTimer timer : timers.pollFirstEntry().getValue()) {
                    actions.addAll(bed.feed(new TimerExpired(timer)));
                }
            }
            for (SchedulerCommand action : actions) {
                checked++;
                if (action instanceof ForwardAttempt send) {
                    Track track = tracks.get(send.id());
                    assertEquals(EndpointState.READY, told.get(send.invoker()), "drain");
                    assertTrue(!track.over, "sent after the end");
                    assertEquals(0, track.out, "overlap");
                    if (track.unproved) {
                        assertTrue(bed.repeat != Idempotency.NON_IDEMPOTENT, "unsafe repeat");
                        if (bed.repeat == Idempotency.KEYED) {
                            assertEquals(track.cell, cell.get(send.invoker()), "cell");
                            assertTrue(bed.now <= track.firstUnproved + 3_000_000, "window");
                        }
                    }
                    track.out++;
                    track.sentAt.add(bed.now);
                    track.cells.add(cell.get(send.invoker()));
                    out.add(new Object[] {send.id(), track.attempts++, send.invoker()});
                    assertTrue(track.attempts <= 5, "attempts");
                } else if (action instanceof RejectRequest refuse) {
                    Track track = tracks.get(refuse.id());
                    assertTrue(
                            bed.repeat == Idempotency.IDEMPOTENT
                                    || (!track.unproved && track.out == 0),
                            "refusal");
                    track.over = true;
                    track.ends++;
                } else if (action instanceof FailRequest fail) {
                    tracks.get(fail.id()).over = true;
                    tracks.get(fail.id()).ends++;
                } else if (action instanceof PreloadFunction order) {
                    orders.add(order);
                    if (order.instances() > 0) {
                        assertEquals(
                                EndpointState.READY, told.get(order.invoker()), "order on drain");
                        orderTimes.add(bed.now);
                        long from = bed.now - 1_000_000;
                        long placed = orderTimes.stream().filter(t -> t >= from).count();
                        long took = arrivals.stream().filter(t -> t >= from).count();
                        assertTrue(
                                bed.loadPeriod == 0 || placed <= 3 + 0.2 * took + 1e-9, "ration");
                    }
                } else if (action instanceof SetTimer timer) {
                    timers.computeIfAbsent(bed.now + timer.afterMicros(), t -> new ArrayList<>())
                            .add(timer.timer());
                }
            }
            for (Track track : tracks.values()) {
                assertTrue(track.ends <= 1, "two answers");
                assertTrue(track.over || bed.now < track.deadline + 16_000, "no answer in time");
            }
            tracks.values().removeIf(t -> t.over && t.out == 0);
        }
        assertTrue(checked > 3_000, "the stream must exercise the module: " + checked);
    }
}
