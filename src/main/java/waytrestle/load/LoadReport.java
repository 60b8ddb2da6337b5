package waytrestle.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** A run's results as tables and charts in a directory. */
public final class LoadReport {
    private static final double[] QUANTILES = {50, 90, 99, 99.9, 100};

    private LoadReport() {}

    /**
     * Writes summary.csv, series.csv and, where the machine can draw, latency.png and calls.png.
     */
    public static void write(LoadRun run, Path dir) throws IOException {
        Files.createDirectories(dir);
        Files.writeString(dir.resolve("summary.csv"), summary(run.tallies()));
        Files.writeString(dir.resolve("series.csv"), series(run.slices()));
        List<Double> at = new ArrayList<>();
        List<List<Double>> latency = List.of(new ArrayList<>(), new ArrayList<>());
        List<List<Double>> calls = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        run.slices()
                .forEach(
                        (second, s) -> {
                            at.add((double) second);
                            latency.get(0).add(s.latency.getValueAtPercentile(50) / 1e3);
                            latency.get(1).add(s.latency.getValueAtPercentile(99) / 1e3);
                            calls.get(0).add((double) s.offered);
                            calls.get(1).add((double) s.served);
                            calls.get(2).add((double) s.refused + s.failed);
                        });
        chart(
                dir.resolve("latency.png"),
                "Latency of served calls",
                "ms",
                at,
                List.of("p50", "p99"),
                latency);
        chart(
                dir.resolve("calls.png"),
                "Calls",
                "a second",
                at,
                List.of("offered", "served", "not served"),
                calls);
    }

    /** One line chart over seconds as a PNG. */
    public static void chart(
            Path file,
            String title,
            String unit,
            List<Double> at,
            List<String> names,
            List<List<Double>> values)
            throws IOException {
        chart(file, title, "s", unit, at, names, values);
    }

    /** One line chart as a PNG. */
    public static void chart(
            Path file,
            String title,
            String across,
            String unit,
            List<Double> at,
            List<String> names,
            List<List<Double>> values)
            throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart =
                new XYChartBuilder()
                        .width(900)
                        .height(480)
                        .title(title)
                        .xAxisTitle(across)
                        .yAxisTitle(unit)
                        .build();
        for (int i = 0; i < names.size(); i++) {
            chart.addSeries(names.get(i), at, values.get(i)).setMarker(SeriesMarkers.NONE);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    public static String summary(Map<String, LoadRun.Tally> tallies) {
        StringBuilder out =
                new StringBuilder(
                        "stream,offered,served,in_time,p50_ms,p90_ms,p99_ms,p999_ms,max_ms,ends\n");
        tallies.forEach(
                (name, t) -> {
                    out.append(name)
                            .append(',')
                            .append(t.offered)
                            .append(',')
                            .append(t.served)
                            .append(',')
                            .append(t.inTime);
                    for (double q : QUANTILES) {
                        out.append(
                                String.format(
                                        Locale.ROOT,
                                        ",%.3f",
                                        t.latency.getValueAtPercentile(q) / 1e3));
                    }
                    out.append(',');
                    t.ends.forEach((end, n) -> out.append(end).append('=').append(n).append(' '));
                    out.append('\n');
                });
        return out.toString();
    }

    private static String series(SortedMap<Long, LoadRun.Slice> slices) {
        StringBuilder out =
                new StringBuilder("second,offered,served,refused,failed,p50_ms,p99_ms\n");
        slices.forEach(
                (second, s) ->
                        out.append(
                                String.format(
                                        Locale.ROOT,
                                        "%d,%d,%d,%d,%d,%.3f,%.3f%n",
                                        second,
                                        s.offered,
                                        s.served,
                                        s.refused,
                                        s.failed,
                                        s.latency.getValueAtPercentile(50) / 1e3,
                                        s.latency.getValueAtPercentile(99) / 1e3)));
        return out.toString();
    }
}
