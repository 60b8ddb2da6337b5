package waytrestle.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import waytrestle.platform.SimulatedInvoker.Arrival;

/**
 * The sends that controllers have logged as caught by a stop of their process between the last
 * check and the write. No process can hold these back; whatever else comes late is a fault. Each
 * line explains one arrival at most.
 */
final class DelayedSends {
    private static final Pattern ATTEMPT = Pattern.compile("send\\.delayed id=(\\S+) ");
    private static final Pattern PRELOAD =
            Pattern.compile("send\\.delayed preload=\\S+ invoker=(\\S+) ");

    private final List<String> requestIds;
    private final List<String> preloadedInvokers;
    private int explained;

    DelayedSends(String logs) {
        this.requestIds = allOf(ATTEMPT, logs);
        this.preloadedInvokers = allOf(PRELOAD, logs);
    }

    private static List<String> allOf(Pattern pattern, String logs) {
        List<String> found = new ArrayList<>();
        for (Matcher matcher = pattern.matcher(logs); matcher.find(); ) {
            found.add(matcher.group(1));
        }
        return found;
    }

    /** Whether a stop has caught this arrival at the invoker. */
    boolean explain(SimulatedInvoker invoker, Arrival arrival) {
        boolean isExplained =
                arrival.preload()
                        ? preloadedInvokers.remove(invoker.id())
                        : requestIds.remove(arrival.requestId());
        explained += isExplained ? 1 : 0;
        return isExplained;
    }

    /** How many arrivals were explained. */
    int explained() {
        return explained;
    }
}
