package waytrestle.load;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import org.HdrHistogram.Histogram;
import waytrestle.Bytes;
import waytrestle.config.GatewayConfig;
import waytrestle.front.webhook.Signatures;
import waytrestle.http.ExchangeFailure;
import waytrestle.http.FairByteLimit;
import waytrestle.http.HttpClient;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpWriter;
import waytrestle.http.ResponseHandler;
import waytrestle.invoker.InferProtocol;
import waytrestle.net.Loop;

/**
 * Plays a load plan in open loop: every call has its time before the run, whatever became of the
 * ones before it, and its latency counts from that time. So a slow server delays no call that would
 * have shown it (coordinated omission).
 */
public final class LoadRun {
    private static final HttpLimits LIMITS =
            new HttpLimits(8_192, 100, 32_768, 1 << 28, 0, 0, 0, 0);
    private static final int LARGE =
            8 << 20; // bytes from which a tensor is sent instead of a payload
    private static final long HIGHEST = 600_000_000L; // micros recorded at most
    private static final long SLICE = 1_000_000; // micros of a row of the series

    /**
     * What a stream's calls came to; latencies of those served, and of all that were answered, in
     * micros.
     */
    public static final class Tally {
        public final Histogram latency = new Histogram(HIGHEST, 3),
                answers = new Histogram(HIGHEST, 3);
        public final Map<String, Long> ends = new TreeMap<>();
        public long offered, served, inTime;
    }

    /** A second of the run. */
    public static final class Slice {
        public long offered, served, refused, failed;
        public final Histogram latency = new Histogram(HIGHEST, 2);
    }

    private final LoadPlan plan;
    private final Loop loop;
    private final SplittableRandom random;
    private final Map<InetSocketAddress, HttpClient> clients = new LinkedHashMap<>();
    private final Map<String, Tally> tallies = new LinkedHashMap<>();
    private final TreeMap<Long, Slice> slices = new TreeMap<>();
    private final List<double[]> popularity = new ArrayList<>();
    private final double[] shares;
    private final CountDownLatch done = new CountDownLatch(1);
    private final String run = "load" + Long.toHexString(System.nanoTime()) + "-";
    private long began, due, stageBegan, sequence, turn;
    private int stage, open;
    private boolean ended;

    public LoadRun(LoadPlan plan, Loop loop) {
        this.plan = plan;
        this.loop = loop;
        this.random = new SplittableRandom(plan.seed());
        this.shares = new double[plan.streams().size()];
        for (int i = 0; i < shares.length; i++) {
            LoadPlan.Stream s = plan.streams().get(i);
            shares[i] = s.share() + (i == 0 ? 0 : shares[i - 1]);
            tallies.put(s.name(), new Tally());
            double[] ranks = new double[s.functions()];
            for (int r = 0; r < ranks.length; r++) {
                ranks[r] = Math.pow(r + 1, -s.zipf()) + (r == 0 ? 0 : ranks[r - 1]);
            }
            popularity.add(ranks);
            for (InetSocketAddress each : s.at()) {
                clients.computeIfAbsent(
                        each,
                        a ->
                                new HttpClient(
                                        loop,
                                        a,
                                        LIMITS,
                                        plan.connections(),
                                        2_000_000,
                                        60_000_000,
                                        new FairByteLimit(Long.MAX_VALUE)));
            }
        }
    }

    /** Runs to the end, with all answers in or given up. */
    public void run() throws InterruptedException {
        loop.execute(
                () -> {
                    began = due = stageBegan = Loop.nowMicros();
                    step();
                });
        done.await();
    }

    public Map<String, Tally> tallies() {
        return tallies;
    }

    public SortedMap<Long, Slice> slices() {
        return slices;
    }

    /** All that is due is sent; what is late still counts from its own time. */
    private void step() {
        while (!ended && due <= Loop.nowMicros()) {
            send(due);
            advance();
        }
        if (ended) {
            if (open == 0) {
                done.countDown();
            } else {
                loop.after(5_000, this::step);
            }
            return;
        }
        loop.after(due - Loop.nowMicros(), this::step);
    }

    private void advance() {
        while (true) {
            LoadPlan.Stage s = plan.stages().get(stage);
            double most = Math.max(s.from(), s.to());
            // Drawn at the stage's highest rate and thinned to the present one, so that ramps come
            // out even.
            long end = stageBegan + s.micros();
            while (most > 0 && due < end) {
                due += (long) (-Math.log(1 - random.nextDouble()) / most * 1e6);
                double rate = s.from() + (s.to() - s.from()) * (due - stageBegan) / s.micros();
                if (due < end && random.nextDouble() * most < rate) {
                    return;
                }
            }
            stageBegan += s.micros();
            due = stageBegan;
            if (++stage == plan.stages().size()) {
                ended = true;
                return;
            }
        }
    }

    private static int pick(double[] cumulative, double draw) {
        int i = Arrays.binarySearch(cumulative, draw * cumulative[cumulative.length - 1]);
        return Math.min(cumulative.length - 1, i < 0 ? -i - 1 : i);
    }

    private Slice slice(long at) {
        return slices.computeIfAbsent((at - began) / SLICE, x -> new Slice());
    }

    private void send(long at) {
        int which = pick(shares, random.nextDouble());
        LoadPlan.Stream s = plan.streams().get(which);
        String function = s.function() + "-" + pick(popularity.get(which), random.nextDouble());
        tallies.get(s.name()).offered++;
        slice(at).offered++;
        attempt(s, function, run + ++sequence, at, 1);
    }

    private void attempt(LoadPlan.Stream s, String function, String id, long at, int tries) {
        InetSocketAddress to = s.at().get((int) (turn++ % s.at().size()));
        open++;
        clients.get(to)
                .call(
                        s.deadlineMicros(),
                        new ResponseHandler() {
                            @Override
                            public void responseReceived(HttpMessage m) {
                                ended(
                                        s,
                                        function,
                                        id,
                                        at,
                                        tries,
                                        m.status() == 200
                                                ? "served"
                                                : Integer.toString(m.status()));
                            }

                            @Override
                            public void exchangeFailed(ExchangeFailure how, String why) {
                                ended(
                                        s,
                                        function,
                                        id,
                                        at,
                                        tries,
                                        how.name().toLowerCase(Locale.ROOT));
                            }
                        },
                        request(s, to, function, id));
    }

    private void ended(
            LoadPlan.Stream s, String function, String id, long at, int tries, String end) {
        open--;
        Tally tally = tallies.get(s.name());
        boolean served = end.equals("served");
        if (!served && tries < 2 && random.nextDouble() < s.retryShare()) {
            attempt(s, function, id, at, tries + 1);
            return;
        }
        tally.ends.merge(end, 1L, Long::sum);
        tally.answers.recordValue(Math.min(HIGHEST, Loop.nowMicros() - at));
        Slice slice = slice(at);
        if (served) {
            long took = Math.min(HIGHEST, Loop.nowMicros() - at);
            tally.served++;
            tally.inTime += took <= s.aimMicros() ? 1 : 0;
            tally.latency.recordValue(took);
            slice.served++;
            slice.latency.recordValue(took);
        } else if (end.equals("503") || end.equals("429")) {
            slice.refused++;
        } else {
            slice.failed++;
        }
    }

    private static ByteBuffer[] request(
            LoadPlan.Stream s, InetSocketAddress to, String function, String id) {
        String host = GatewayConfig.invokerId(to);
        if (s.front() == LoadPlan.Front.KSERVE && s.payloadBytes() >= LARGE) {
            return tensor(s, host, function, id);
        }
        byte[] payload = payload(s, function);
        switch (s.front()) {
            case WEBHOOK -> {
                String seconds = Long.toString(System.currentTimeMillis() / 1_000);
                return new ByteBuffer[] {
                    HttpWriter.request("POST", s.path(), host)
                            .header("Content-Type", "application/json")
                            .header("webhook-id", id)
                            .header("webhook-timestamp", seconds)
                            .header(
                                    "webhook-signature",
                                    Signatures.sign(s.credential(), id, seconds, payload))
                            .head(payload.length),
                    ByteBuffer.wrap(payload)
                };
            }
            case KSERVE -> {
                byte[] json =
                        ("{\"id\":\""
                                        + id
                                        + "\",\"inputs\":[{\"name\":\"payload\",\"shape\":[1],\"datatype\":"
                                        + "\"BYTES\",\"parameters\":{\"binary_data_size\":"
                                        + (payload.length + 4)
                                        + "}}],\"parameters\":{\"binary_data_output\":true}}")
                                .getBytes(StandardCharsets.US_ASCII);
                return new ByteBuffer[] {
                    HttpWriter.request("POST", "/v2/models/" + function + "/infer", host)
                            .header("Content-Type", "application/octet-stream")
                            .header("Authorization", "Bearer " + s.credential())
                            .header("Inference-Header-Content-Length", json.length)
                            .head(json.length + 4 + payload.length),
                    ByteBuffer.allocate(json.length + 4)
                            .order(ByteOrder.LITTLE_ENDIAN)
                            .put(json)
                            .putInt(payload.length)
                            .flip(),
                    ByteBuffer.wrap(payload)
                };
            }
            default -> {
                return new InferProtocol(host, 0)
                        .infer(function, id, 0, "application/json", Bytes.of(payload));
            }
        }
    }

    /**
     * A large tensor of one shared array: making it anew for each call would hold up the other
     * streams.
     */
    private static ByteBuffer[] tensor(LoadPlan.Stream s, String host, String function, String id) {
        byte[] json =
                ("{\"id\":\""
                                + id
                                + "\",\"inputs\":[{\"name\":\"x\",\"shape\":["
                                + s.payloadBytes()
                                + "],\"datatype\":\"UINT8\",\"parameters\":{\"binary_data_size\":"
                                + s.payloadBytes()
                                + "}}]}")
                        .getBytes(StandardCharsets.US_ASCII);
        if (zeros.length != s.payloadBytes()) {
            zeros = new byte[s.payloadBytes()];
        }
        return new ByteBuffer[] {
            HttpWriter.request("POST", "/v2/models/" + function + "/infer", host)
                    .header("Content-Type", "application/octet-stream")
                    .header("Authorization", "Bearer " + s.credential())
                    .header("Inference-Header-Content-Length", json.length)
                    .head(json.length + s.payloadBytes()),
            ByteBuffer.wrap(json),
            ByteBuffer.wrap(zeros)
        };
    }

    private static byte[] zeros = new byte[0];

    /** JSON that names its function and work, padded to the stream's size. */
    private static byte[] payload(LoadPlan.Stream s, String function) {
        String text =
                "{\"function\":\"" + function + "\",\"work_ms\":" + s.workMs() + ",\"pad\":\"";
        int pad = Math.max(0, s.payloadBytes() - text.length() - 2);
        byte[] out = new byte[text.length() + pad + 2];
        Arrays.fill(out, (byte) 'x');
        System.arraycopy(text.getBytes(StandardCharsets.US_ASCII), 0, out, 0, text.length());
        out[out.length - 2] = '"';
        out[out.length - 1] = '}';
        return out;
    }
}
