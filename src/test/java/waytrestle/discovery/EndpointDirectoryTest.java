package waytrestle.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/** What the roster's answers and failures come to. */
class EndpointDirectoryTest {
    private final List<EndpointDirectory.Command> last = new ArrayList<>();
    private EndpointDirectory book = new EndpointDirectory(200_000, 5_000_000, false, 1);
    private long now = 1_000_000;

    private static EndpointDirectory.RegisteredEndpoint listed(
            String id, EndpointState state, long up, long created) {
        return new EndpointDirectory.RegisteredEndpoint(
                new InvokerEndpoint(id, 0, 0, 0, state, 1, up), created);
    }

    private void answered(long index, EndpointDirectory.RegisteredEndpoint... entries) {
        last.clear();
        book.handle(
                now,
                new EndpointDirectory.SnapshotReceived(index, Arrays.asList(entries)),
                last::add);
    }

    private EndpointsUpdated told() {
        return last.stream()
                .filter(a -> a instanceof EndpointDirectory.PublishUpdate)
                .map(a -> ((EndpointDirectory.PublishUpdate) a).update())
                .findFirst()
                .orElse(null);
    }

    private EndpointDirectory.Poll ask() {
        return (EndpointDirectory.Poll) last.get(last.size() - 1);
    }

    @Test
    void theFirstListIsWholeAndLaterOnlyChangesAreTold() {
        answered(5, listed("a", EndpointState.READY, 0, 1), listed("b", EndpointState.READY, 0, 1));
        assertTrue(told().snapshot());
        assertEquals(new EndpointDirectory.Poll(5, 0), ask());
        answered(6, listed("a", EndpointState.READY, 0, 1), listed("b", EndpointState.READY, 0, 1));
        assertEquals(null, told());
        answered(7, listed("a", EndpointState.DRAINING, 0, 1));
        assertEquals(false, told().snapshot());
        assertEquals(
                List.of(EndpointState.DRAINING, EndpointState.GONE),
                told().entries().stream().map(InvokerEndpoint::state).toList());
    }

    @Test
    void aListThatShrinksToNothingIsObeyedAtOnce() {
        answered(5, listed("a", EndpointState.READY, 0, 1));
        answered(6);
        assertEquals(EndpointState.GONE, told().entries().get(0).state());
        assertEquals(0, book.size());
    }

    @Test
    void errorsLeaveTheListAndPausesGrowToTheirBound() {
        answered(5, listed("a", EndpointState.READY, 0, 1));
        long before = 0;
        for (int i = 0; i < 40; i++) {
            last.clear();
            book.handle(now, new EndpointDirectory.PollFailed(), last::add);
            assertEquals(1, last.size(), "nothing is told but when to ask");
            assertEquals(5, ask().index());
            assertTrue(ask().afterMicros() <= 5_000_000 && ask().afterMicros() >= 100_000);
            before = Math.max(before, ask().afterMicros());
        }
        assertTrue(before > 2_500_000);
        assertEquals(1, book.size());
        now += 700;
        assertEquals(700, book.age(now));
    }

    @Test
    void whereTheModuleAsksItIsToldOfFailures() {
        book = new EndpointDirectory(200_000, 5_000_000, true, 1);
        book.handle(now, new EndpointDirectory.PollFailed(), last::add);
        assertEquals(new EndpointDirectory.PublishFailure(), last.get(0));
    }

    @Test
    void anIndexThatGoesBackIsReadFromTheStart() {
        answered(500, listed("a", EndpointState.READY, 0, 1));
        answered(3, listed("a", EndpointState.READY, 0, 1));
        assertEquals(0, ask().index());
        assertTrue(ask().afterMicros() > 0, "not at once, for it has just started");
    }

    @Test
    void anEntryRegisteredAnewHasStartedAnew() {
        answered(1, listed("a", EndpointState.READY, 0, 10));
        now += 9_000;
        answered(2, listed("a", EndpointState.READY, 0, 11));
        assertEquals(now, told().entries().get(0).startedAtMicros());
        answered(3, listed("a", EndpointState.READY, 0, 11));
        assertEquals(null, told(), "the same start stays the same moment");
    }
}
