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

/** What the platform's invokers are asked, and what their answers say. */
public final class PlatformInvokerProtocol {
    private static final String UNRUN = "x-unrun",
            GAUGES = "x-gauges",
            AHEAD = "x-ahead",
            UNITS = "x-units";
    private static final int FIGURES = 64; // of one load report

    private final String host;
    private final boolean tellsCompany;

    public PlatformInvokerProtocol(String host, boolean tellsCompany) {
        this.host = host;
        this.tellsCompany = tellsCompany;
    }

    // ---- Requests. ----
    /** An attempt at a call; one without a body is a GET. */
    public ByteBuffer[] fetch(
            String kind, String id, String function, long withinMicros, Bytes body) {
        HttpWriter head =
                HttpWriter.request(body.size() == 0 ? "GET" : "POST", "/fetch/" + kind, host)
                        .header("X-Txn", id)
                        .header("X-Name", function)
                        .header("X-Limit-Ms", Math.max(1, withinMicros / 1_000));
        if (body.size() == 0) {
            return new ByteBuffer[] {head.head()};
        }
        List<ByteBuffer> all = new ArrayList<>();
        all.add(head.head((int) body.size()));
        all.addAll(body.buffers());
        return all.toArray(ByteBuffer[]::new);
    }

    /** At least so many copies; 0 only asks. */
    public ByteBuffer hold(String function, int copies) {
        return HttpWriter.request("PUT", "/fetch/" + function + "/" + copies, host).head();
    }

    public ByteBuffer unload(String function) {
        return HttpWriter.request("DELETE", "/fetch/" + function, host).head();
    }

    public ByteBuffer probe(boolean load) {
        return HttpWriter.request("GET", load ? "/load" : "/alive", host).head();
    }

    // ---- Answers. ----
    /**
     * A refusal without its mark proves nothing, so it counts as unreadable; so does an answer
     * without a told end.
     */
    public static ExchangeResult reply(HttpMessage m) {
        if (m.status() == 200 || m.status() == 204) {
            return ExchangeResult.of(m.untilClose() ? Kind.MALFORMED : Kind.RESPONSE);
        }
        boolean marked = "1".equals(m.header(UNRUN));
        boolean claims = m.status() == 503 || m.status() == 504;
        return (claims && !marked) || m.untilClose()
                ? ExchangeResult.of(Kind.MALFORMED)
                : new ExchangeResult(Kind.STATUS, m.status());
    }

    public static Served served(HttpMessage m) {
        String type = m.header("content-type");
        return new Served(type == null ? "" : type, m.content(), -1);
    }

    public static int units(HttpMessage m) {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(0, whole(m.header(UNITS), 0)));
    }

    /** Load and company; how a copy came to stand is not told here. */
    public LoadMetrics told(HttpMessage m) {
        boolean companion = m.status() == 200 || m.status() == 503;
        int company =
                tellsCompany && companion
                        ? (int) Math.min(1_000_000, Math.max(0, whole(m.header(AHEAD), 0)))
                        : -1;
        return new LoadMetrics(gauges(m.header(GAUGES)), StartKind.UNKNOWN, company, -1);
    }

    private static long whole(String text, long otherwise) {
        try {
            return text == null ? otherwise : Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    /**
     * As in {@code inflight:7;util:0.61}; what is malformed is left out, for a report is advice
     * only.
     */
    private static Map<String, Double> gauges(String header) {
        if (header == null) {
            return Map.of();
        }
        Map<String, Double> report = new HashMap<>();
        for (String each : header.split(";")) {
            int colon = each.indexOf(':');
            try {
                double value =
                        colon > 0
                                ? Double.parseDouble(each.substring(colon + 1).trim())
                                : Double.NaN;
                if (Double.isFinite(value) && report.size() < FIGURES) {
                    report.put(each.substring(0, colon).trim(), value);
                }
            } catch (NumberFormatException e) {
                // left out, as said above
            }
        }
        return report;
    }
}
