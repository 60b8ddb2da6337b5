package waytrestle.stats;

import java.util.ArrayDeque;

/**
 * The number of events in the last period, with a bounded amount of memory: events that follow each
 * other within a small part of the period are counted together and leave the count together. Times
 * are in microseconds.
 *
 * <p>Not thread-safe.
 */
public final class SlidingWindowCount {
    /** Which event of those counted together decides when all of them leave the count. */
    public enum Expiry {
        /** The count is never above the number of events of the last period. */
        WITH_FIRST,
        /** The count is never below the number of events of the last period. */
        WITH_LAST
    }

    /** Events closer than the period divided by this are counted together. */
    static final int GROUPS_PER_PERIOD = 1_024;

    private static final class Group {
        private final long firstAt;
        private long lastAt;
        private long events;

        private Group(long firstAt) {
            this.firstAt = firstAt;
        }
    }

    private final long periodMicros;
    private final Expiry expiry;
    private final ArrayDeque<Group> groups = new ArrayDeque<>();
    private long events;

    /** Creates a count of zero. */
    public SlidingWindowCount(long periodMicros, Expiry expiry) {
        this.periodMicros = periodMicros;
        this.expiry = expiry;
    }

    /** Counts an event, which must not be earlier than one counted before. */
    public void add(long nowMicros) {
        removeExpired(nowMicros);
        Group last = groups.peekLast();
        if (last == null || nowMicros - last.firstAt > periodMicros / GROUPS_PER_PERIOD) {
            last = new Group(nowMicros);
            groups.addLast(last);
        }
        last.lastAt = nowMicros;
        last.events++;
        events++;
    }

    /** Returns the number of events in the period up to the given time. */
    public long count(long nowMicros) {
        removeExpired(nowMicros);
        return events;
    }

    /** Returns the number of groups in which the events are held. */
    int groups() {
        return groups.size();
    }

    private void removeExpired(long nowMicros) {
        while (!groups.isEmpty() && expiringAt(groups.peekFirst()) < nowMicros - periodMicros) {
            events -= groups.removeFirst().events;
        }
    }

    private long expiringAt(Group group) {
        return expiry == Expiry.WITH_FIRST ? group.firstAt : group.lastAt;
    }
}
