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
 * Writes requests to the platform's invokers and reads their responses. This is the one place that
 * knows their wire words.
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

    /** Values of one load report: bounds what a faulty invoker can make this side hold. */
    private static final int MAX_LOAD_REPORT_VALUES = 64;

    /** More concurrent requests than this at one invoker are not told apart. */
    private static final long MAX_CONCURRENCY = 1_000_000;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MIN_TIMEOUT_MILLIS = 1;

    /** Marks a value that the response does not report. */
    private static final int NOT_REPORTED = -1;

    private final String host;
    private final boolean reportsConcurrency;

    /**
     * The protocol with one invoker.
     *
     * @param host value of the Host header
     * @param reportsConcurrency whether the settings promise the number of concurrent requests
     */
    public PlatformInvokerProtocol(String host, boolean reportsConcurrency) {
        this.host = host;
        this.reportsConcurrency = reportsConcurrency;
    }

    /** An attempt at a request; one without a body is a GET. */
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

    /** A request to have at least so many instances loaded; 0 only asks how many are. */
    public ByteBuffer preloadMessage(String function, int instances) {
        return HttpWriter.request("PUT", PATH_PREFIX + function + "/" + instances, host).head();
    }

    /** A request to unload a function. */
    public ByteBuffer unloadMessage(String function) {
        return HttpWriter.request("DELETE", PATH_PREFIX + function, host).head();
    }

    /** A health check, with or without a load report in its response. */
    public ByteBuffer healthCheckMessage(boolean withLoadReport) {
        return HttpWriter.request("GET", withLoadReport ? "/load" : "/alive", host).head();
    }

    /**
     * What a response comes to. A rejection that is not marked as not run proves nothing, so it
     * counts as malformed; so does a response that only the close of its connection ended, for it
     * may be cut off.
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

    /** The function's response, to be passed on as it is. */
    public static Served functionResponse(HttpMessage response) {
        String contentType = response.header("content-type");
        return new Served(contentType == null ? "" : contentType, response.content(), NOT_REPORTED);
    }

    /** Loaded instances of a function, as the response to a preload reports them; 0 without. */
    public static int loadedInstances(HttpMessage response) {
        return (int) readCount(response.header(LOADED_INSTANCES_HEADER), Integer.MAX_VALUE);
    }

    /** The load report of a response; how an instance was started is not reported here. */
    public LoadMetrics loadMetrics(HttpMessage response) {
        return new LoadMetrics(
                readLoadReport(response.header(LOAD_REPORT_HEADER)),
                StartKind.UNKNOWN,
                readConcurrency(response),
                NOT_REPORTED);
    }

    private int readConcurrency(HttpMessage response) {
        boolean carriesIt = response.status() == OK || response.status() == SERVICE_UNAVAILABLE;
        if (!reportsConcurrency || !carriesIt) {
            return NOT_REPORTED;
        }
        return (int) readCount(response.header(CONCURRENCY_HEADER), MAX_CONCURRENCY);
    }

    /** A count between 0 and the maximum; 0 where it is missing or malformed. */
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
     * Reads a list as in {@code inflight:7;util:0.61}. Malformed entries are ignored, for a report
     * is advisory.
     */
    private static Map<String, Double> readLoadReport(String header) {
        if (header == null) {
            return Map.of();
        }
        Map<String, Double> report = new HashMap<>();
        for (String entry : header.split(";")) {
            int colon = entry.indexOf(':');
            double value = colon > 0 ? readDouble(entry.substring(colon + 1)) : Double.NaN;
            if (Double.isFinite(value) && report.size() < MAX_LOAD_REPORT_VALUES) {
                report.put(entry.substring(0, colon).trim(), value);
            }
        }
        return report;
    }

    private static double readDouble(String text) {
        try {
            return Double.parseDouble(text.trim());
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
