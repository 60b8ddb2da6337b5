package waytrestle.discovery.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Numbers, order and gaps of the notice board. */
class WatchStateTest {
    private final WatchState book = new WatchState(3, 2_000_000);
    private final List<String> came = new ArrayList<>();
    private long now = 1_000_000;

    private List<String> feed(WatchState.Event event) {
        came.clear();
        book.handle(
                now,
                event,
                a ->
                        came.add(
                                a instanceof WatchState.PublishEvent t
                                        ? "tell " + t.event().revision()
                                        : a instanceof WatchState.Current
                                                ? "current"
                                                : "ask "
                                                        + ((WatchState.Reconnect) a)
                                                                .afterRevision()));
        return List.copyOf(came);
    }

    private List<String> event(long number) {
        return feed(new WatchState.LineReceived(new WatchEvent(number, false, List.of())));
    }

    private List<String> number(long number) {
        return feed(new WatchState.LineReceived(new WatchEvent(number, false, null)));
    }

    @Test
    void aBoardThatOnlyRepeatsAnOldNumberIsTakenForSilentAndAskedAgain() {
        number(3);
        List<String> asked = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            now += 200_000;
            asked.addAll(number(2));
            asked.addAll(feed(new WatchState.SilenceCheckDue()));
        }
        assertEquals(
                List.of("ask 3", "ask 3"), asked, "once each time that it was silent for so long");
        number(3);
        now += 200_000;
        assertEquals(
                List.of(),
                feed(new WatchState.SilenceCheckDue()),
                "it has come up with what was told");
    }

    @Test
    void eachEventIsToldOnceAndInOrder() {
        assertEquals(List.of("current", "tell 4"), event(4));
        assertEquals(List.of(), event(4), "twice");
        assertEquals(List.of(), event(2), "old");
        assertEquals(List.of("ask 4"), event(6), "a gap is asked for, not jumped");
        assertEquals(List.of("tell 5"), event(5));
        assertEquals(List.of("tell 6"), event(6));
        assertEquals(List.of(), number(6));
        assertEquals(List.of("ask 6"), number(7), "the board knows more than it told");
    }

    @Test
    void aSilentBoardIsAskedAgainWellBeforeItsWordCounts() {
        assertEquals(List.of("ask 3"), feed(new WatchState.AddressChanged()));
        number(3);
        now += 1_500_000;
        assertEquals(List.of(), feed(new WatchState.SilenceCheckDue()), "one number may be late");
        now += 500_000;
        assertEquals(List.of("ask 3"), feed(new WatchState.SilenceCheckDue()));
        assertEquals(
                List.of(), feed(new WatchState.SilenceCheckDue()), "asked once, then waited for");
        now += 2_000_000;
        assertEquals(List.of("ask 3"), feed(new WatchState.SilenceCheckDue()));
    }

    @Test
    void whatWasKnownIsCurrentOnceTheBoardHasAnsweredAndNotBefore() {
        assertEquals(List.of("ask 3"), feed(new WatchState.AddressChanged()));
        assertEquals(List.of(), number(2), "it is behind what is known");
        assertEquals(List.of("ask 3"), number(4), "it knows more than it told");
        assertEquals(List.of("current"), number(3));
        assertEquals(List.of(), number(3), "said once");
        assertEquals(List.of("tell 4"), event(4));
    }

    @Test
    void aConnectionThatHangsAndThePauseAfterItLeaveHalfOfTheGrace() {
        for (long grace : new long[] {400_000, 1_000_000, 8_000_000}) {
            WatchState each = new WatchState(3, grace);
            long[] pause = {0};
            for (int i = 0; i < 20; i++) {
                each.handle(
                        now,
                        new WatchState.ConnectionBroke(),
                        a -> pause[0] = ((WatchState.Reconnect) a).delayMicros());
            }
            assertEquals(grace / 2, pause[0] + each.connectMicros());
        }
    }

    @Test
    void aBrokenBoardIsAskedAtOnceAndThenWithPauses() {
        long total = 0;
        for (int i = 0; i < 20; i++) {
            List<Long> pauses = new ArrayList<>();
            book.handle(
                    now,
                    new WatchState.ConnectionBroke(),
                    a -> pauses.add(((WatchState.Reconnect) a).delayMicros()));
            assertEquals(i == 0, pauses.get(0) == 0);
            total = Math.max(total, pauses.get(0));
        }
        assertEquals(500_000, total, "the longest pause");
    }
}
