package waytrestle.metrics;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import org.HdrHistogram.Histogram;

/**
 * Counters, gauges and latencies of one loop, written as a Prometheus text page (version 0.0.4).
 */
public final class Metrics {
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final long HIGHEST = 3_600_000_000L; // micros: an hour; longer counts as that
    private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};

    private record Series(String name, String labels) implements Comparable<Series> {
        @Override
        public int compareTo(Series o) {
            int by = name.compareTo(o.name);
            return by != 0 ? by : labels.compareTo(o.labels);
        }
    }

    /** A count that only grows. */
    public static final class Counter {
        private long value;

        public void increment() {
            value++;
        }

        public long value() {
            return value;
        }
    }

    private final Map<Series, Counter> counters = new TreeMap<>();
    private final Map<Series, DoubleSupplier> gauges = new TreeMap<>();
    private final Map<Series, Histogram> latencies = new TreeMap<>();
    private final Map<String, String> help = new LinkedHashMap<>();
    private final Map<String, Written> families = new TreeMap<>();

    private record Written(String type, MetricFamily family) {}

    /** Takes a sample of a family; labels as for counters. */
    public interface SampleSink {
        void accept(String labels, double value);
    }

    /** Series that somebody else holds, written when the page is. */
    public interface MetricFamily {
        void writeSamples(SampleSink out);
    }

    private final boolean latent;

    public Metrics() {
        this(true);
    }

    /** Without latencies it stays small: the emulator runs hundreds of controllers. */
    public Metrics(boolean latencies) {
        this.latent = latencies;
    }

    public void setHelp(String name, String text) {
        help.put(name, text);
    }

    /** A counter, made at first use; labels as {@code class="x",end="served"}. */
    public Counter counter(String name, String labels) {
        return counters.computeIfAbsent(new Series(name, labels), s -> new Counter());
    }

    public void registerGauge(String name, String labels, DoubleSupplier value) {
        gauges.put(new Series(name, labels), value);
    }

    /** Series held elsewhere, by type as the page has it: counter or gauge. */
    public void registerFamily(String name, String type, String text, MetricFamily family) {
        setHelp(name, text);
        families.put(name, new Written(type, family));
    }

    /** Drops the counters that carry a label, as {@code invoker="a"}: what it named is gone. */
    public void removeCounters(String label) {
        counters.keySet().removeIf(s -> s.labels().contains(label));
    }

    public void recordLatency(String name, String labels, long micros) {
        if (!latent) {
            return;
        }
        latencies
                .computeIfAbsent(new Series(name, labels), s -> new Histogram(HIGHEST, 3))
                .recordValue(Math.min(HIGHEST, Math.max(0, micros)));
    }

    public String render() {
        StringBuilder out = new StringBuilder(4_096);
        String[] last = {""};
        counters.forEach(
                (series, counter) -> {
                    head(out, last, series.name(), "counter");
                    line(out, series.name(), series.labels(), "", counter.value());
                });
        gauges.forEach(
                (series, gauge) -> {
                    head(out, last, series.name(), "gauge");
                    line(out, series.name(), series.labels(), "", gauge.getAsDouble());
                });
        families.forEach(
                (name, written) -> {
                    head(out, last, name, written.type());
                    written.family()
                            .writeSamples((labels, value) -> line(out, name, labels, "", value));
                });
        latencies.forEach(
                (series, histogram) -> {
                    head(out, last, series.name(), "summary");
                    for (double q : QUANTILES) {
                        line(
                                out,
                                series.name(),
                                series.labels(),
                                "quantile=\"" + q + "\"",
                                histogram.getValueAtPercentile(q * 100) / 1e6);
                    }
                    line(
                            out,
                            series.name() + "_sum",
                            series.labels(),
                            "",
                            histogram.getMean() * histogram.getTotalCount() / 1e6);
                    line(
                            out,
                            series.name() + "_count",
                            series.labels(),
                            "",
                            histogram.getTotalCount());
                });
        return out.toString();
    }

    private void head(StringBuilder out, String[] last, String name, String type) {
        if (!last[0].equals(name)) {
            last[0] = name;
            out.append("# HELP ")
                    .append(name)
                    .append(' ')
                    .append(help.getOrDefault(name, name))
                    .append('\n');
            out.append("# TYPE ").append(name).append(' ').append(type).append('\n');
        }
    }

    private static void line(
            StringBuilder out, String name, String labels, String more, double value) {
        out.append(name);
        if (!labels.isEmpty() || !more.isEmpty()) {
            out.append('{')
                    .append(labels)
                    .append(labels.isEmpty() || more.isEmpty() ? "" : ",")
                    .append(more)
                    .append('}');
        }
        out.append(' ')
                .append(
                        value == Math.rint(value) && Math.abs(value) < 1e15
                                ? Long.toString((long) value)
                                : Double.toString(value))
                .append('\n');
    }
}
