package waytrestle.hunt;

import java.util.List;

/**
 * What a played day came to. The faults are empty where it passed; the first word of each is its
 * kind, by which a shrunk day must fail too. The digest is of everything that was seen, in order.
 */
public record DayResult(
        List<String> faults,
        double service,
        long calls,
        long attempts,
        long orders,
        double coldUsed,
        double ordersUsed,
        long digest,
        long tasks) {

    public boolean passed() {
        return faults.isEmpty();
    }

    /** The kind of the first fault, "" without one. */
    public String kind() {
        return faults.isEmpty() ? "" : faults.get(0).split(" ")[0];
    }

    /** How near to a break: the highest share of a budget that was used, repeats among them. */
    public double nearness() {
        return Math.max(coldUsed, Math.max(ordersUsed, calls == 0 ? 0 : attempts / (4.0 * calls)));
    }
}
