package waytrestle.play;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import waytrestle.ControlApi.Repeat;
import waytrestle.ControlApi.RequestClass;
import waytrestle.front.webhook.Signatures;
import waytrestle.http.HttpClient;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpWriter;
import waytrestle.net.Loop;
import waytrestle.standin.Sightings;

/**
 * Clients in open loop: signed calls at their times whether or not answers come, repeats by their class's rule, and
 * some that leave early. They choose controllers in turn and another one when one cannot be reached.
 */
final class Clients {
    /** What a call of a function carries. */
    record Target(String function, int requestClass, double workMs) { }

    /** The KServe clients' bearer key in every play. */
    static final String BEARER = "play-key-0123456789abcdef";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long LATE = 1_000_000;  // micros past the deadline for which a late answer is still looked for
    private static final HttpLimits LIMITS = HttpLimits.DEFAULT;

    private final Loop loop;
    private final Sightings sightings;
    private final List<RequestClass> classes;
    private final List<String> paths;
    private final String secret;
    private final Scenario.Load load;
    private final List<Target> targets;
    private final double[] cumulative;
    private final List<HttpClient> controllers = new ArrayList<>();
    private final List<String> hosts = new ArrayList<>();
    private final SplittableRandom random;
    private final String run;
    private double rate, hotShare, scanShare, leaveShare;
    private Target hot, scanLike;
    private long sequence, turn;
    private boolean stopped;
    private int open;
    private long served, refused, failed, other;

    Clients(Loop loop, Sightings sightings, List<RequestClass> classes, List<String> paths, String secret,
            Scenario.Load load, List<Target> targets, double[] weights, List<InetSocketAddress> at, long seed) {
        this.loop = loop;
        this.sightings = sightings;
        this.classes = classes;
        this.paths = paths;
        this.secret = secret;
        this.load = load;
        this.targets = targets;
        this.cumulative = weights.clone();
        for (int i = 1; i < cumulative.length; i++) {
            cumulative[i] += cumulative[i - 1];
        }
        this.random = new SplittableRandom(seed);
        this.run = "play" + Long.toHexString(seed) + "-";
        this.rate = load.ratePerSecond();
        this.leaveShare = load.leaveShare();
        for (InetSocketAddress each : at) {
            controllers.add(new HttpClient(loop, each, LIMITS, 4_000, 500_000, 10_000_000));
            hosts.add("127.0.0.1:" + each.getPort());
        }
    }

    void start() {
        loop.execute(this::next);
    }

    void burst(double factor) {
        rate = load.ratePerSecond() * factor;
    }

    void leaving(double share) {
        leaveShare = share > 0 ? share : load.leaveShare();
    }

    /** A share of calls goes to one function not seen before. */
    void hot(Target target, double share) {
        hot = target;
        hotShare = share;
    }

    /** A share of calls goes to functions that are wanted once. */
    void scan(Target like, double share) {
        scanLike = like;
        scanShare = share;
    }

    void stop() {
        stopped = true;
    }

    int open() {
        return open;
    }

    String line() {
        return "served " + served + ", refused " + refused + ", failed " + failed + ", other " + other + ", open " + open;
    }

    void finish() {
        for (int i = 0; i < controllers.size(); i++) {
            if (controllers.get(i).strays() > 0) {
                sightings.saw("client", "strays", "controller", i, "count", controllers.get(i).strays());
            }
        }
    }

    private void next() {
        if (stopped) {
            return;
        }
        new Call(pick()).send();
        loop.after((long) (-Math.log(1 - random.nextDouble()) / rate * 1e6), this::next);
    }

    private Target pick() {
        double draw = random.nextDouble();
        if (hot != null && draw < hotShare) {
            return hot;
        }
        if (scanLike != null && random.nextDouble() < scanShare) {
            return new Target("scan-" + sequence, scanLike.requestClass(), scanLike.workMs());
        }
        double at = random.nextDouble() * cumulative[cumulative.length - 1];
        int i = Arrays.binarySearch(cumulative, at);
        return targets.get(Math.min(targets.size() - 1, i < 0 ? -i - 1 : i));
    }

    private final class Call {
        final Target target;
        final RequestClass kind;
        final String id = run + ++sequence;
        final byte[] payload;
        final boolean kserve;
        int tries, controller, unreached;
        long leaveAfter;

        Call(Target target) {
            this.target = target;
            this.kind = classes.get(target.requestClass());
            double work = target.workMs() * (0.5 + random.nextDouble());
            this.kserve = random.nextDouble() < load.kserveShare();
            this.payload = ("{\"function\":\"" + target.function() + "\",\"work_ms\":"
                    + String.format(java.util.Locale.ROOT, "%.2f", work) + "}").getBytes(StandardCharsets.US_ASCII);
            boolean leaves = random.nextDouble() < leaveShare;
            leaveAfter = leaves ? (long) (kind.deadlineMicros() * (0.1 + 0.8 * random.nextDouble())) : 0;
            controller = (int) (turn++ % controllers.size());
        }

        void send() {
            int now = ++tries;
            open++;
            String path = paths.get(target.requestClass());
            String at = Long.toString(System.currentTimeMillis() / 1_000);
            ByteBuffer[] request = kserve ? infer() : webhook(path, at);
            sightings.saw("client", "sent", "id", seenId(), "try", now, "controller", controller, "class",
                    target.requestClass(), "deadline", kind.deadlineMicros());
            controllers.get(controller).call(leaveAfter > 0 ? leaveAfter : kind.deadlineMicros() + LATE,
                    new HttpClient.Handler() {
                        @Override
                        public void answered(HttpMessage m) {
                            open--;
                            done(now, m);
                        }

                        @Override
                        public void broken(HttpClient.Break how, String why) {
                            open--;
                            broke(now, how);
                        }
                    }, request);
        }

        /** The call's id as an invoker is told it. */
        private String seenId() {
            return kserve ? "kserve -1 " + target.function() + " " + id : paths.get(target.requestClass()) + " " + id;
        }

        private ByteBuffer[] infer() {
            byte[] json = ("{\"inputs\":[{\"name\":\"payload\",\"shape\":[1],\"datatype\":\"BYTES\",\"data\":["
                    + JSON.getNodeFactory().textNode(new String(payload, StandardCharsets.US_ASCII)) + "]}]}")
                    .getBytes(StandardCharsets.US_ASCII);
            return new ByteBuffer[] {HttpWriter.request("POST", "/v2/models/" + target.function() + "/infer",
                    hosts.get(controller)).header("Content-Type", "application/json").header("Idempotency-Key", id)
                    .header("Authorization", "Bearer " + BEARER).head(json.length), ByteBuffer.wrap(json)};
        }

        private ByteBuffer[] webhook(String path, String at) {
            return new ByteBuffer[] {HttpWriter.request("POST", path, hosts.get(controller))
                    .header("Content-Type", "application/json").header("webhook-id", id).header("webhook-timestamp", at)
                    .header("webhook-signature", Signatures.sign(secret, id, at, payload)).head(payload.length),
                ByteBuffer.wrap(payload)};
        }

        void saw(String what, int tryNumber, int status, boolean harmless) {
            sightings.saw("client", what, "id", seenId(), "try", tryNumber,
                    "controller", controller, "status", status, "harmless", harmless ? 1 : 0);
        }

        void done(int tryNumber, HttpMessage m) {
            boolean harmless = false;
            long wait = load.retryAfterMicros();
            if (m.status() != 200) {
                try {
                    JsonNode problem = JSON.readTree(m.body());
                    harmless = problem.path("harmless").asBoolean("true".equals(m.header("waytrestle-harmless")));
                    wait = Math.max(wait, problem.path("retry_after_ms").asLong(0) * 1_000);
                } catch (JsonProcessingException e) {
                    harmless = false;
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            }
            saw("answer", tryNumber, m.status(), harmless);
            if (m.status() == 200) {
                served++;
            } else if (harmless) {
                refused++;
            } else {
                failed++;
            }
            boolean may = m.status() != 200 && (harmless || kind.repeat() == Repeat.SAFE);
            if (may && tries < 2 && !stopped && random.nextDouble() < load.retryShare()) {
                loop.after(wait, this::again);
            }
        }

        void broke(int tryNumber, HttpClient.Break how) {
            boolean unreachable = how == HttpClient.Break.NO_CONNECTION || how == HttpClient.Break.BEFORE_FIRST_BYTE
                    || how == HttpClient.Break.NO_ROOM;
            boolean left = how == HttpClient.Break.TIMEOUT && leaveAfter > 0;
            saw(unreachable ? "unreached" : left ? "left" : how == HttpClient.Break.TIMEOUT ? "unanswered" : "cut",
                    tryNumber, 0, false);
            other++;
            boolean again = unreachable ? ++unreached < controllers.size()
                    : !left && kind.repeat() == Repeat.SAFE && tries < 2;
            if (again && !stopped) {
                controller = (controller + 1) % controllers.size();
                loop.after(unreachable ? 1_000 : load.retryAfterMicros(), this::again);
            }
        }

        void again() {
            if (!stopped) {
                send();
            }
        }
    }
}
