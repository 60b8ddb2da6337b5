package waytrestle.invoker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import waytrestle.scheduler.StartKind;

/**
 * The ORCA load report of an answer, {@code endpoint-load-metrics}, in its TEXT or JSON form. The
 * module's names are {@code named_metrics}; cpu_utilization is its util, rps_fractional its qps.
 */
public record LoadMetrics(Map<String, Double> report, StartKind start, int company, int copies) {
    public static final String HEADER = "endpoint-load-metrics";
    public static final LoadMetrics NONE = new LoadMetrics(Map.of(), StartKind.UNKNOWN, -1, -1);
    private static final int MOST = 64; // values of one report

    /** Loaded with the first report in JSON: the reader is a library that most never need. */
    private static final class Trees {
        static final ObjectMapper JSON = new ObjectMapper();
    }

    /** Reads a header; what is malformed in it is left out, for a report is advice only. */
    public static LoadMetrics read(String header) {
        if (header == null) {
            return NONE;
        }
        Map<String, Double> raw = new HashMap<>();
        if (header.startsWith("TEXT ")) {
            for (String each : header.substring(5).split(",")) {
                int equals = each.indexOf('=');
                if (equals > 0 && raw.size() < MOST) {
                    put(raw, each.substring(0, equals).trim(), each.substring(equals + 1).trim());
                }
            }
        } else if (header.startsWith("JSON ")) {
            try {
                flatten("", Trees.JSON.readTree(header.substring(5)), raw);
            } catch (IOException e) {
                return NONE;
            }
        }
        Map<String, Double> report = new HashMap<>();
        raw.forEach(
                (name, value) -> {
                    switch (name) {
                        case "cpu_utilization" -> report.put("util", value);
                        case "rps_fractional" -> report.put("qps", value);
                        case "eps" -> report.put("eps", value);
                        case "named_metrics.start",
                                "named_metrics.company",
                                "named_metrics.copies" -> {}
                        default -> {
                            if (name.startsWith("named_metrics.")) {
                                report.put(name.substring(14), value);
                            }
                        }
                    }
                });
        int start = raw.getOrDefault("named_metrics.start", 0.0).intValue();
        return new LoadMetrics(
                report,
                start >= 0 && start < StartKind.values().length
                        ? StartKind.values()[start]
                        : StartKind.UNKNOWN,
                raw.getOrDefault("named_metrics.company", -1.0).intValue(),
                raw.getOrDefault("named_metrics.copies", -1.0).intValue());
    }

    private static void flatten(String prefix, JsonNode node, Map<String, Double> into) {
        node.fields()
                .forEachRemaining(
                        field -> {
                            if (field.getValue().isObject()) {
                                flatten(prefix + field.getKey() + ".", field.getValue(), into);
                            } else if (field.getValue().isNumber() && into.size() < MOST) {
                                into.put(prefix + field.getKey(), field.getValue().doubleValue());
                            }
                        });
    }

    private static void put(Map<String, Double> into, String name, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                into.put(name, number);
            }
        } catch (NumberFormatException ignored) {
            // left out, as said above
        }
    }
}
