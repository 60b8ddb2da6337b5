package waytrestle.front.platform;

import waytrestle.http.HttpMessage;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.scheduler.SchedulerSettings.Preloading;

/**
 * Reads the headers in which a request declares the resource needs of its function and whether the
 * request is a retry.
 *
 * <p>Names ending in Millis are durations in milliseconds, names ending in Mb are in megabytes.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class FunctionHintsReader {
    private static final String RETRY_HEADER = "x-resent";
    private static final String WORK_ESTIMATE_HEADER = "x-estimate-ms";
    private static final String EXTRAS_HEADER = "x-extras";

    /** Limit of the requests that a function instance may run at a time; no instance runs more. */
    private static final int MAX_CONCURRENCY_PER_INSTANCE = 4_096;

    /** Limit of a load time or work time: a longer one would outlast any request. */
    private static final long MAX_DURATION_MILLIS = 600_000;

    /** Limit of a function instance's memory if no kind of invoker declares its memory. */
    private static final double DEFAULT_MAX_MEMORY_MB = 1e9;

    private static final double MICROS_PER_MILLI = 1_000;

    private final double maxMemoryMb;

    /** Creates a reader that rejects functions larger than the memory of the largest invoker. */
    FunctionHintsReader(Preloading preloading) {
        double largestInvokerMb = 0;
        for (double memoryMb : preloading.memoryByKind()) {
            largestInvokerMb = Math.max(largestInvokerMb, memoryMb);
        }
        this.maxMemoryMb = largestInvokerMb > 0 ? largestInvokerMb : DEFAULT_MAX_MEMORY_MB;
    }

    /** Reads the hints; a value that the request does not declare is 0. */
    FunctionHints read(HttpMessage message) throws InvalidRequestException {
        boolean retry = readRetry(message);
        double workMillis = readWorkMillis(message);
        Extras extras = readExtras(message);
        return new FunctionHints(
                extras.memoryMb,
                extras.concurrencyPerInstance,
                Math.round(extras.loadMillis * MICROS_PER_MILLI),
                Math.round(workMillis * MICROS_PER_MILLI),
                retry);
    }

    private static boolean readRetry(HttpMessage message) throws InvalidRequestException {
        if (message.occurrences(RETRY_HEADER) == 0) {
            return false;
        }
        if (!HeaderValues.single(message, RETRY_HEADER).equals("1")) {
            throw InvalidRequestException.badRequest("X-Resent is not 1");
        }
        return true;
    }

    private static double readWorkMillis(HttpMessage message) throws InvalidRequestException {
        if (message.occurrences(WORK_ESTIMATE_HEADER) == 0) {
            return 0;
        }
        return HeaderValues.decimal(
                HeaderValues.single(message, WORK_ESTIMATE_HEADER),
                MAX_DURATION_MILLIS,
                "X-Estimate-Ms is out of range");
    }

    /**
     * Reads a list such as {@code memory_mb:512;lanes:2;load_ms:640}. If a name occurs several
     * times, its last value counts.
     */
    private Extras readExtras(HttpMessage message) throws InvalidRequestException {
        Extras extras = new Extras();
        if (message.occurrences(EXTRAS_HEADER) == 0) {
            return extras;
        }
        for (String entry : HeaderValues.single(message, EXTRAS_HEADER).split(";", -1)) {
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

    /** Collects the values of the extras header while it is read. */
    private static final class Extras {
        private double memoryMb;
        private int concurrencyPerInstance;
        private double loadMillis;
    }
}
