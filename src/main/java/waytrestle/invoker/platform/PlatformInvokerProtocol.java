package waytrestle.invoker.platform;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import waytrestle.Bytes;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpWriter;
import waytrestle.invoker.LoadMetrics;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.responses.ExchangeResult;
import waytrestle.responses.ExchangeResult.Kind;
import waytrestle.scheduler.StartKind;

/**
 * Writes messages to the platform's invokers and reads their responses. The paths, headers and
 * status codes of the invokers' protocol are used in this class only, but for the status codes in
 * {@link PlatformResponseClassifier}.
 *
 * <p>Immutable.
 */
public final class PlatformInvokerProtocol {
    private static final String PATH_PREFIX = "/fetch/";
    private static final String NOT_RUN_HEADER = "x-unrun";
    private static final String LOAD_REPORT_HEADER = "x-gauges";
    private static final String CONCURRENCY_HEADER = "x-ahead";
    private static final String LOADED_INSTANCES_HEADER = "x-units";

    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Values read from one load report: bounds the memory that a faulty invoker can take up. */
    private static final int MAX_LOAD_REPORT_VALUES = 64;

    /** Reported concurrent requests at one invoker: a higher number is read as this one. */
    private static final long MAX_CONCURRENCY = 1_000_000;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MIN_TIMEOUT_MILLIS = 1;

    /** Stands for a value that the response does not report. */
    private static final int NOT_REPORTED = -1;

    private final String host;
    private final boolean reportsConcurrency;

    /**
     * Creates the protocol for one invoker.
     *
     * @param host value of the Host header
     * @param reportsConcurrency whether the settings declare that responses state the number of
     *     concurrent requests
     */
    public PlatformInvokerProtocol(String host, boolean reportsConcurrency) {
        this.host = host;
        this.reportsConcurrency = reportsConcurrency;
    }

    /**
     * Returns the buffers of an attempt of a request: a GET if the body is empty, otherwise a POST.
     *
     * @param id the request's id as the invoker is to see it
     * @param timeoutMicros time limit that the invoker is told, in whole milliseconds and at least
     *     1 ms
     */
    public ByteBuffer[] attemptMessage(
            String requestClass, String id, String function, long timeoutMicros, Bytes body) {
        boolean empty = body.size() == 0;
        HttpWriter head =
                HttpWriter.request(empty ? "GET" : "POST", PATH_PREFIX + requestClass, host)
                        .header("X-Txn", id)
                        .header("X-Name", function)
                        .header(
                                "X-Limit-Ms",
                                Math.max(MIN_TIMEOUT_MILLIS, timeoutMicros / MICROS_PER_MILLI));
        if (empty) {
            return new ByteBuffer[] {head.head()};
        }
        List<ByteBuffer> buffers = new ArrayList<>();
        buffers.add(head.head((int) body.size()));
        buffers.addAll(body.buffers());
        return buffers.toArray(ByteBuffer[]::new);
    }

    /**
     * Returns a preload request: asks the invoker to hold at least the given number of instances of
     * the function.
     *
     * @param instances number of instances; 0 only asks how many are loaded
     */
    public ByteBuffer preloadMessage(String function, int instances) {
        return HttpWriter.request("PUT", PATH_PREFIX + function + "/" + instances, host).head();
    }

    /** Returns a request to unload a function. */
    public ByteBuffer unloadMessage(String function) {
        return HttpWriter.request("DELETE", PATH_PREFIX + function, host).head();
    }

    /** Returns a health check, with or without a load report in its response. */
    public ByteBuffer healthCheckMessage(boolean withLoadReport) {
        return HttpWriter.request("GET", withLoadReport ? "/load" : "/alive", host).head();
    }

    /**
     * Returns the result of the exchange that a response ends. A rejection without the mark that
     * the request has not run proves nothing, so it counts as malformed. A response whose end is
     * only marked by the close of the connection counts as malformed too, since it may be
     * truncated.
     */
    public static ExchangeResult exchangeResult(HttpMessage response) {
        if (response.endedByClose()) {
            return ExchangeResult.of(Kind.MALFORMED);
        }
        int status = response.status();
        if (status == OK || status == NO_CONTENT) {
            return ExchangeResult.of(Kind.RESPONSE);
        }
        boolean rejection = status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT;
        boolean markedNotRun = "1".equals(response.header(NOT_RUN_HEADER));
        if (rejection && !markedNotRun) {
            return ExchangeResult.of(Kind.MALFORMED);
        }
        return new ExchangeResult(Kind.STATUS, status);
    }

    /** Returns the function's response, to be passed on unchanged. */
    public static Served functionResponse(HttpMessage response) {
        String contentType = response.header("content-type");
        return new Served(contentType == null ? "" : contentType, response.content(), NOT_REPORTED);
    }

    /**
     * Returns the number of loaded instances of a function that the response to a preload request
     * reports; 0 if it reports none.
     */
    public static int loadedInstances(HttpMessage response) {
        return (int) readCount(response.header(LOADED_INSTANCES_HEADER), Integer.MAX_VALUE);
    }

    /** Returns the load report of a response. The protocol does not report a start kind. */
    public LoadMetrics loadMetrics(HttpMessage response) {
        return new LoadMetrics(
                readLoadReport(response.header(LOAD_REPORT_HEADER)),
                StartKind.UNKNOWN,
                readConcurrency(response),
                NOT_REPORTED);
    }

    /** Returns the number of concurrent requests, or {@link #NOT_REPORTED}. */
    private int readConcurrency(HttpMessage response) {
        boolean carriesConcurrency =
                response.status() == OK || response.status() == SERVICE_UNAVAILABLE;
        if (!reportsConcurrency || !carriesConcurrency) {
            return NOT_REPORTED;
        }
        return (int) readCount(response.header(CONCURRENCY_HEADER), MAX_CONCURRENCY);
    }

    /** Returns a count, limited to 0 to {@code max}; 0 if the text is null or malformed. */
    private static long readCount(String text, long max) {
        if (text == null) {
            return 0;
        }
        try {
            return Math.min(max, Math.max(0, Long.parseLong(text.trim())));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /**
     * Reads a load report such as {@code inflight:7;util:0.61}; null reads as an empty one.
     * Malformed entries are ignored, since a load report is advisory.
     */
    private static Map<String, Double> readLoadReport(String header) {
        if (header == null) {
            return Map.of();
        }
        Map<String, Double> valuesByName = new HashMap<>();
        for (String entry : header.split(";")) {
            int colon = entry.indexOf(':');
            double value = colon > 0 ? readDouble(entry.substring(colon + 1)) : Double.NaN;
            if (Double.isFinite(value) && valuesByName.size() < MAX_LOAD_REPORT_VALUES) {
                valuesByName.put(entry.substring(0, colon).trim(), value);
            }
        }
        return valuesByName;
    }

    /** Returns the number, or NaN if the text is malformed. */
    private static double readDouble(String text) {
        try {
            return Double.parseDouble(text.trim());
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
