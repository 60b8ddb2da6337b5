package waytrestle.platform;

import java.util.ArrayList;
import java.util.List;
import waytrestle.platform.SimulatedInvoker.Arrival;
import waytrestle.platform.SimulatedInvoker.State;
import waytrestle.platform.SimulatedWatchServer.Loss;

/**
 * What was done to discovery, invokers and processes in a run, held against the work that reached
 * the invokers: nothing new comes to one that drains, past the time at which that counts as
 * notified and the grace.
 */
final class OutageHistory {
    private static final long SOCKET_SLACK_MILLIS = 50;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Pauses that ended longer before a late arrival are not reported with it. */
    private static final long REPORTED_MILLIS = 7_000;

    /** An outage of discovery that is going on. */
    private record Outage(long fromNanos, Loss loss) {}

    /** When a controller did not run. */
    private record Suspension(long fromNanos, long untilNanos) {}

    /** From when to when an invoker was draining or gone. */
    static final class Drain {
        private final SimulatedInvoker invoker;
        private final long fromNanos;
        private final Outage outage;
        private volatile long untilNanos = Long.MAX_VALUE;

        private Drain(SimulatedInvoker invoker, long fromNanos, Outage outage) {
            this.invoker = invoker;
            this.fromNanos = fromNanos;
            this.outage = outage;
        }

        SimulatedInvoker invoker() {
            return invoker;
        }

        /** It is about to start again. */
        void returned() {
            untilNanos = System.nanoTime();
        }

        /** Requests for events are not held against controllers that have not sent them. */
        private long limitNanos(long graceMillis) {
            long told = fromNanos;
            if (outage != null) {
                long lossMillis = outage.loss().notifiedAfterMillis();
                told = Math.max(told, outage.fromNanos() + lossMillis * NANOS_PER_MILLI);
            }
            return told + (graceMillis + SOCKET_SLACK_MILLIS) * NANOS_PER_MILLI;
        }
    }

    private final long graceMillis;
    private final List<Drain> drains = new ArrayList<>();
    private final List<Suspension> suspensions = new ArrayList<>();
    private Outage outage;

    OutageHistory(long graceMillis) {
        this.graceMillis = graceMillis;
    }

    /** Discovery is about to go out of reach. */
    synchronized void lost(Loss loss) {
        outage = new Outage(System.nanoTime(), loss);
    }

    /** Discovery is back. */
    synchronized void restored() {
        outage = null;
    }

    /** An invoker is about to drain. */
    synchronized Drain drained(SimulatedInvoker invoker) {
        Drain drain = new Drain(invoker, System.nanoTime(), outage);
        drains.add(drain);
        return drain;
    }

    /** A controller runs again that has not since then. */
    synchronized void suspended(long fromNanos) {
        suspensions.add(new Suspension(fromNanos, System.nanoTime()));
    }

    synchronized int drains() {
        return drains.size();
    }

    /** All late work, but what stops of the controllers have caught. */
    synchronized List<String> violations(DelayedSends delayedSends) {
        List<String> found = new ArrayList<>();
        for (Drain drain : drains) {
            long limit = drain.limitNanos(graceMillis);
            for (Arrival arrival : drain.invoker.arrivals()) {
                boolean during = arrival.atNanos() > limit && arrival.atNanos() < drain.untilNanos;
                boolean late = during && arrival.state() != State.READY;
                if (late && !delayedSends.explain(drain.invoker, arrival)) {
                    found.add(describe(drain, arrival, limit));
                }
            }
        }
        return found;
    }

    /** What happened around it, in milliseconds before the arrival. */
    private String describe(Drain drain, Arrival arrival, long limit) {
        StringBuilder text = new StringBuilder("drain: ");
        text.append(arrival.preload() ? "a preload" : "a request");
        text.append(" reached ").append(drain.invoker.id());
        text.append(' ').append((arrival.atNanos() - limit) / NANOS_PER_MILLI).append(" ms late");
        text.append(", drain ").append((arrival.atNanos() - drain.fromNanos) / NANOS_PER_MILLI);
        if (drain.outage != null) {
            long since = (arrival.atNanos() - drain.outage.fromNanos()) / NANOS_PER_MILLI;
            text.append(", outage ").append(drain.outage.loss()).append(' ').append(since);
        }
        for (Suspension each : suspensions) {
            long from = (arrival.atNanos() - each.fromNanos()) / NANOS_PER_MILLI;
            long until = (arrival.atNanos() - each.untilNanos()) / NANOS_PER_MILLI;
            if (from >= 0 && until < REPORTED_MILLIS) {
                text.append(", suspended ").append(from).append(" to ").append(until);
            }
        }
        return text.toString();
    }
}
