package waytrestle.front.platform;

import waytrestle.http.HttpMessage;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.scheduler.SchedulerSettings.Preloading;

/**
 * Reads what a request's headers say of its function and of earlier sends.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class FunctionHintsReader {
    private static final String RESENT = "x-resent";
    private static final String ESTIMATE = "x-estimate-ms";
    private static final String EXTRAS = "x-extras";

    /** A function instance that runs more requests at once is out of any range. */
    private static final int MAX_CONCURRENCY_PER_INSTANCE = 4_096;

    /** A longer load or run outlasts any request. */
    private static final long MAX_DURATION_MILLIS = 600_000;

    /** Limit where no kind of invoker declares its memory. */
    private static final double DEFAULT_MAX_MEMORY_MB = 1e9;

    private static final double MICROS_PER_MILLI = 1_000;

    private final double maxMemoryMb;

    FunctionHintsReader(Preloading preloading) {
        double largestInvokerMb = 0;
        for (double memoryMb : preloading.memoryByKind()) {
            largestInvokerMb = Math.max(largestInvokerMb, memoryMb);
        }
        this.maxMemoryMb = largestInvokerMb > 0 ? largestInvokerMb : DEFAULT_MAX_MEMORY_MB;
    }

    /** Reads the hints; those that are not given are 0. */
    FunctionHints read(HttpMessage message) throws InvalidRequestException {
        boolean resent = readResent(message);
        double workMillis = readEstimateMillis(message);
        Extras extras = readExtras(message);
        return new FunctionHints(
                extras.memoryMb,
                extras.concurrencyPerInstance,
                Math.round(extras.loadMillis * MICROS_PER_MILLI),
                Math.round(workMillis * MICROS_PER_MILLI),
                resent);
    }

    private static boolean readResent(HttpMessage message) throws InvalidRequestException {
        if (message.occurrences(RESENT) == 0) {
            return false;
        }
        if (!HeaderValues.single(message, RESENT).equals("1")) {
            throw InvalidRequestException.badRequest("X-Resent is not 1");
        }
        return true;
    }

    private static double readEstimateMillis(HttpMessage message) throws InvalidRequestException {
        if (message.occurrences(ESTIMATE) == 0) {
            return 0;
        }
        return HeaderValues.decimal(
                HeaderValues.single(message, ESTIMATE),
                MAX_DURATION_MILLIS,
                "X-Estimate-Ms is out of range");
    }

    /** Reads a list as in {@code memory_mb:512;lanes:2;load_ms:640}; the last of a name counts. */
    private Extras readExtras(HttpMessage message) throws InvalidRequestException {
        Extras extras = new Extras();
        if (message.occurrences(EXTRAS) == 0) {
            return extras;
        }
        for (String entry : HeaderValues.single(message, EXTRAS).split(";", -1)) {
            int colon = entry.indexOf(':');
            String name = colon < 0 ? "" : entry.substring(0, colon).trim();
            String value = entry.substring(colon + 1).trim();
            readExtra(extras, name, value);
        }
        return extras;
    }

    private void readExtra(Extras extras, String name, String value)
            throws InvalidRequestException {
        switch (name) {
            case "memory_mb" ->
                    extras.memoryMb =
                            HeaderValues.decimal(value, maxMemoryMb, "memory_mb is out of range");
            case "lanes" ->
                    extras.concurrencyPerInstance =
                            (int)
                                    HeaderValues.integer(
                                            value,
                                            1,
                                            MAX_CONCURRENCY_PER_INSTANCE,
                                            "lanes is out of range");
            case "load_ms" ->
                    extras.loadMillis =
                            HeaderValues.decimal(
                                    value, MAX_DURATION_MILLIS, "load_ms is out of range");
            default -> throw InvalidRequestException.badRequest("X-Extras holds an unknown figure");
        }
    }

    /** The values of the extras header while it is being read. */
    private static final class Extras {
        private double memoryMb;
        private int concurrencyPerInstance;
        private double loadMillis;
    }
}
