package waytrestle.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/**
 * What a roster's answers come to. Free of I/O, clock and threads.
 *
 * <p>A lagging roster's last word stands. One that errs leaves the list as it is; it is asked again
 * after a pause that doubles, drawn at random so that controllers do not return together. One that
 * shrinks, even to nothing, is obeyed at once: what it calls gone must get nothing new, and a call
 * without invokers is refused, which harms nobody. One that restarts, its index going back, is read
 * from the start again.
 */
public final class EndpointDirectory {
    // ---- Tuned numbers. ----
    private static final double LEAST_SHARE = 0.5; // of a pause: the random part is the other half

    /**
     * One invoker as listed; created changes when it was registered anew, startedAt 0 means untold.
     */
    public record RegisteredEndpoint(InvokerEndpoint endpoint, long createIndex) {}

    public sealed interface Event {}

    /** A whole list under the roster's index. */
    public record SnapshotReceived(long index, List<RegisteredEndpoint> entries) implements Event {}

    public record PollFailed() implements Event {}

    public sealed interface Command {}

    /** News for the module. */
    public record PublishUpdate(EndpointsUpdated update) implements Command {}

    public record PublishFailure() implements Command {}

    /** Ask next, blocking until the index changes; index 0 answers at once. */
    public record Poll(long index, long afterMicros) implements Command {}

    /** Takes the actions in order. */
    public interface CommandSink {
        void add(Command action);
    }

    private final long retry, retryMost;
    private final boolean asked;
    private final SplittableRandom random;
    private Map<String, RegisteredEndpoint> known = new LinkedHashMap<>();
    private boolean first = true;
    private long index, answeredAt;
    private int failures;

    /** With asked, failures are told to the module, which asks again itself. */
    public EndpointDirectory(long retryMicros, long retryMostMicros, boolean asked, long seed) {
        this.retry = retryMicros;
        this.retryMost = retryMostMicros;
        this.asked = asked;
        this.random = new SplittableRandom(seed);
    }

    public int size() {
        return known.size();
    }

    /** Micros since the roster last answered; -1 if it never has. */
    public long age(long now) {
        return answeredAt == 0 ? -1 : now - answeredAt;
    }

    public void handle(long now, Event event, CommandSink actions) {
        if (event instanceof SnapshotReceived e) {
            answered(now, e, actions);
            return;
        }
        long pause = Math.min(retryMost, retry << Math.min(16, failures++));
        pause = (long) (pause * (LEAST_SHARE + (1 - LEAST_SHARE) * random.nextDouble()));
        if (asked) {
            actions.add(new PublishFailure());
        }
        actions.add(new Poll(index, pause));
    }

    private void answered(long now, SnapshotReceived e, CommandSink actions) {
        answeredAt = now;
        failures = 0;
        Map<String, RegisteredEndpoint> next = new LinkedHashMap<>();
        for (RegisteredEndpoint each : e.entries()) {
            next.put(each.endpoint().id(), started(now, each));
        }
        List<InvokerEndpoint> changed = new ArrayList<>();
        for (RegisteredEndpoint each : next.values()) {
            RegisteredEndpoint before = known.get(each.endpoint().id());
            if (before == null || !before.endpoint().equals(each.endpoint())) {
                changed.add(each.endpoint());
            }
        }
        for (RegisteredEndpoint each : known.values()) {
            if (!next.containsKey(each.endpoint().id())) {
                InvokerEndpoint i = each.endpoint();
                changed.add(
                        new InvokerEndpoint(
                                i.id(),
                                i.zone(),
                                i.cell(),
                                i.kind(),
                                EndpointState.GONE,
                                i.weight(),
                                i.startedAtMicros()));
            }
        }
        known = next;
        if (first || !changed.isEmpty()) {
            actions.add(new PublishUpdate(new EndpointsUpdated(first, false, changed)));
        }
        first = false;
        boolean restarted = e.index() < index;
        index = restarted ? 0 : e.index();
        actions.add(new Poll(index, restarted || e.index() <= 0 ? retry : 0));
    }

    /** Where no start is told, an entry registered anew is taken to have started just now. */
    private RegisteredEndpoint started(long now, RegisteredEndpoint each) {
        RegisteredEndpoint before = known.get(each.endpoint().id());
        InvokerEndpoint i = each.endpoint();
        if (before == null || i.startedAtMicros() > 0) {
            return each;
        }
        long since =
                before.createIndex() != each.createIndex()
                        ? now
                        : before.endpoint().startedAtMicros();
        return new RegisteredEndpoint(
                new InvokerEndpoint(
                        i.id(), i.zone(), i.cell(), i.kind(), i.state(), i.weight(), since),
                each.createIndex());
    }
}
