package waytrestle.metrics;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import org.HdrHistogram.Histogram;

/**
 * The metrics of one event loop (counters, gauges, latency summaries) and their text form for
 * Prometheus, version 0.0.4 of its exposition format. Labels are given as they stand in the text
 * form, without braces: {@code class="x",end="served"}; empty without labels.
 *
 * <p>Not thread-safe: used by that event loop.
 */
public final class Metrics {
    /** Content type of the text form, as an HTTP header has it. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    /** Longest recorded latency, one hour; a longer one is recorded as one hour. */
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;

    /** Precision at which histograms tell latencies apart, in significant decimal digits. */
    private static final int HISTOGRAM_DIGITS = 3;

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};

    /** Identifies one time series of a metric. */
    private record Series(String name, String labels) implements Comparable<Series> {
        @Override
        public int compareTo(Series other) {
            int byName = name.compareTo(other.name);
            return byName != 0 ? byName : labels.compareTo(other.labels);
        }
    }

    /** A count that never decreases. */
    public static final class Counter {
        private long value;

        /** Adds one to the count. */
        public void increment() {
            value++;
        }

        /** Returns the present count. */
        public long value() {
            return value;
        }
    }

    private final Map<Series, Counter> counters = new TreeMap<>();
    private final Map<Series, DoubleSupplier> gauges = new TreeMap<>();
    private final Map<Series, Histogram> latencies = new TreeMap<>();
    private final Map<String, String> help = new LinkedHashMap<>();
    private final Map<String, TypedFamily> families = new TreeMap<>();

    private record TypedFamily(String type, MetricFamily family) {}

    /** Receives the samples of a metric family. */
    public interface SampleSink {
        /** Takes the value of one series of the family. */
        void accept(String labels, double value);
    }

    /** All series of one metric, whose values are held by another object and read on rendering. */
    public interface MetricFamily {
        /** Passes the current value of each series to the sink. */
        void writeSamples(SampleSink out);
    }

    private final boolean recordsLatencies;

    /** Creates metrics that record latencies. */
    public Metrics() {
        this(true);
    }

    /**
     * Creates empty metrics.
     *
     * @param recordsLatencies false to ignore latencies and save the memory of their histograms:
     *     the emulator runs hundreds of controllers in one process
     */
    public Metrics(boolean recordsLatencies) {
        this.recordsLatencies = recordsLatencies;
    }

    /** Sets the help text of a metric; without one its name is written in place. */
    public void setHelp(String name, String text) {
        help.put(name, text);
    }

    /** Returns the counter of a series, which is created at its first use. */
    public Counter counter(String name, String labels) {
        return counters.computeIfAbsent(new Series(name, labels), series -> new Counter());
    }

    /**
     * Registers a gauge, whose value is read on rendering; replaces a gauge with equal name and
     * labels.
     */
    public void registerGauge(String name, String labels, DoubleSupplier value) {
        gauges.put(new Series(name, labels), value);
    }

    /**
     * Registers a metric family with its help text.
     *
     * @param type type of the metric in the text form: counter or gauge
     */
    public void registerFamily(String name, String type, String text, MetricFamily family) {
        setHelp(name, text);
        families.put(name, new TypedFamily(type, family));
    }

    /**
     * Removes the counters that have a label, such as {@code invoker="a"}, when what the label
     * names no longer exists.
     */
    public void removeCounters(String label) {
        counters.keySet().removeIf(series -> series.labels().contains(label));
    }

    /** Records a latency, which the text form gives in seconds, unless latencies are ignored. */
    public void recordLatency(String name, String labels, long micros) {
        if (!recordsLatencies) {
            return;
        }
        latencies
                .computeIfAbsent(
                        new Series(name, labels),
                        series -> new Histogram(MAX_LATENCY_MICROS, HISTOGRAM_DIGITS))
                .recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, micros)));
    }

    /** Returns all metrics in the text form. */
    public String render() {
        StringBuilder out = new StringBuilder(4_096);
        String[] lastName = {""};
        counters.forEach(
                (series, counter) -> {
                    writeHeader(out, lastName, series.name(), "counter");
                    writeSample(out, series.name(), series.labels(), "", counter.value());
                });
        gauges.forEach(
                (series, gauge) -> {
                    writeHeader(out, lastName, series.name(), "gauge");
                    writeSample(out, series.name(), series.labels(), "", gauge.getAsDouble());
                });
        families.forEach(
                (name, typed) -> {
                    writeHeader(out, lastName, name, typed.type());
                    typed.family()
                            .writeSamples(
                                    (labels, value) -> writeSample(out, name, labels, "", value));
                });
        latencies.forEach(
                (series, histogram) -> {
                    writeHeader(out, lastName, series.name(), "summary");
                    for (double quantile : QUANTILES) {
                        writeSample(
                                out,
                                series.name(),
                                series.labels(),
                                "quantile=\"" + quantile + "\"",
                                histogram.getValueAtPercentile(quantile * 100) / MICROS_PER_SECOND);
                    }
                    writeSample(
                            out,
                            series.name() + "_sum",
                            series.labels(),
                            "",
                            histogram.getMean() * histogram.getTotalCount() / MICROS_PER_SECOND);
                    writeSample(
                            out,
                            series.name() + "_count",
                            series.labels(),
                            "",
                            histogram.getTotalCount());
                });
        return out.toString();
    }

    /**
     * Writes the help and type lines of a metric, unless its previous series wrote them.
     *
     * @param lastName holds the name of the metric written last, and is updated
     */
    private void writeHeader(StringBuilder out, String[] lastName, String name, String type) {
        if (!lastName[0].equals(name)) {
            lastName[0] = name;
            out.append("# HELP ")
                    .append(name)
                    .append(' ')
                    .append(help.getOrDefault(name, name))
                    .append('\n');
            out.append("# TYPE ").append(name).append(' ').append(type).append('\n');
        }
    }

    /** Writes one sample; whole numbers below 1e15 without a decimal point. */
    private static void writeSample(
            StringBuilder out, String name, String labels, String extraLabel, double value) {
        out.append(name);
        if (!labels.isEmpty() || !extraLabel.isEmpty()) {
            out.append('{')
                    .append(labels)
                    .append(labels.isEmpty() || extraLabel.isEmpty() ? "" : ",")
                    .append(extraLabel)
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
