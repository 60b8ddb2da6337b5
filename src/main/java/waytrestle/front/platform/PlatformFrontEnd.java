package waytrestle.front.platform;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import waytrestle.front.Front;
import waytrestle.front.Fronts;
import waytrestle.http.HttpError;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;
import waytrestle.requests.RequestHandler;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.requests.RequestOutcome;
import waytrestle.scheduler.SchedulerSettings.Preloading;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * The platform's calls: reads and checks {@code POST /do/FUNCTION/call}, brings it to the core and
 * words its end. What an invoker could not be asked, or no client could mean, is turned away here.
 */
public final class PlatformFrontEnd implements Front {
    private static final String CALLS = "/do/", CHECK = "/check", TEXT = "text/plain";
    private static final int ID = 16; // hex digits of ids and functions
    private static final int LONGEST = 10; // deadlines of a class: a longer one is out of any range
    private static final int LANES = 4_096; // of one copy: more is out of any range
    private static final long LOAD_MS = 600_000; // of one copy: a longer one outlasts any call
    private static final double ANY_MB = 1e9; // where no kind of invoker tells its memory

    /** Why a message is no call. */
    private static final class Unfit extends Exception {
        private static final long serialVersionUID = 1L;
        private final int status;

        private Unfit(int status, String why) {
            super(why, null, false, false);
            this.status = status;
        }
    }

    private final Map<String, Integer> classes = new HashMap<>();
    private final List<RequestClass> kinds;
    private final double mostMemory;
    private final RequestHandler intake;
    private final Set<String> open = new HashSet<>();
    private final Map<String, Long> turnedAway = new HashMap<>();
    private boolean ready, stopping;

    public PlatformFrontEnd(List<RequestClass> kinds, Preloading loading, RequestHandler intake) {
        this.kinds = kinds;
        this.intake = intake;
        for (int i = 0; i < kinds.size(); i++) {
            classes.put(kinds.get(i).name(), i);
        }
        double most =
                loading.memoryByKind().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        mostMemory = most > 0 ? most : ANY_MB;
    }

    /**
     * From now on the check says that calls may come; before that, those that come all the same
     * wait.
     */
    public void ready() {
        ready = true;
    }

    /** From now on the check says that no calls should come. */
    public void stopping() {
        stopping = true;
    }

    /** Ids of calls that are open. */
    public int open() {
        return open.size();
    }

    @Override
    public boolean owns(String path) {
        return path.startsWith(CALLS) || path.equals(CHECK);
    }

    @Override
    public Map<String, Long> turnedAway() {
        return turnedAway;
    }

    @Override
    public int headSeen(HttpMessage head) {
        return head.path().startsWith(CALLS) ? head.method().equals("POST") ? 0 : 405 : 404;
    }

    @Override
    public HttpServer.Refusal refusal(String path, HttpError e) {
        turnedAway.merge("unread", 1L, Long::sum);
        return new HttpServer.Refusal(TEXT, text(e.getMessage()));
    }

    @Override
    public void request(HttpServer.Exchange e) {
        HttpMessage m = e.message();
        if (m.path().equals(CHECK) && m.method().equals("GET")) {
            e.answer(
                    ready && !stopping ? 200 : 503,
                    TEXT,
                    text(stopping ? "stopping" : ready ? "ready" : "starting"));
            return;
        }
        try {
            call(e, m);
        } catch (Unfit unfit) {
            turnedAway.merge(unfit.getMessage(), 1L, Long::sum);
            e.answer(unfit.status, TEXT, text(unfit.getMessage()));
        }
    }

    private void call(HttpServer.Exchange e, HttpMessage m) throws Unfit {
        String function = function(m);
        Integer kind = classes.get(one(m, "x-class"));
        if (kind == null) {
            throw new Unfit(400, "X-Class names no class");
        }
        String id = one(m, "x-correlation-id");
        if (!hex(id)) {
            throw new Unfit(400, "X-Correlation-Id is not 16 hex digits");
        }
        long most = kinds.get(kind).deadlineMicros() / 1_000 * LONGEST;
        long millis =
                (long)
                        number(
                                one(m, "x-deadline-ms"),
                                1,
                                most,
                                true,
                                "X-Deadline-Ms is out of range");
        FunctionHints facts = facts(m);
        if (!open.add(id)) {
            throw new Unfit(409, "a call of this id is open");
        }
        RequestHandler.PendingResponse ticket =
                intake.accept(
                        new RequestHandler.IncomingRequest(
                                kind,
                                -1,
                                function,
                                null,
                                0,
                                millis * 1_000 - (Loop.now() - e.since()),
                                "",
                                m.content(),
                                -1,
                                facts,
                                id),
                        new RequestHandler.ResponseListener() {
                            @Override
                            public void completed(RequestOutcome end) {
                                open.remove(id);
                                answer(e, end);
                            }

                            @Override
                            public void checkConnected() {
                                e.look();
                            }
                        });
        if (e.open()) {
            e.whenGone(
                    () -> {
                        open.remove(id);
                        ticket.clientDisconnected();
                    });
        }
    }

    private static String function(HttpMessage m) throws Unfit {
        if (!m.path().startsWith(CALLS)) {
            throw new Unfit(404, "there is nothing at this path");
        }
        if (!m.method().equals("POST")) {
            throw new Unfit(405, "calls are posted");
        }
        String path = m.target();
        String function =
                path.substring(CALLS.length(), Math.min(path.length(), CALLS.length() + ID));
        if (!hex(function) || !path.substring(CALLS.length() + ID).equals("/call")) {
            throw new Unfit(404, "the path names no function by 16 hex digits");
        }
        return function;
    }

    /** The one value of a header; of two none can be trusted. */
    private static String one(HttpMessage m, String name) throws Unfit {
        if (m.count(name) != 1) {
            throw new Unfit(400, name + " must be given once");
        }
        return m.header(name);
    }

    private static boolean hex(String text) {
        if (text.length() != ID) {
            return false;
        }
        for (int i = 0; i < ID; i++) {
            char c = text.charAt(i);
            if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'))) {
                return false;
            }
        }
        return true;
    }

    private static double number(String text, double least, double most, boolean whole, String why)
            throws Unfit {
        boolean plain = !text.isEmpty() && text.length() <= 20;
        for (int i = 0; plain && i < text.length(); i++) {
            char c = text.charAt(i);
            plain = (c >= '0' && c <= '9') || (!whole && c == '.');
        }
        try {
            double value = plain ? Double.parseDouble(text) : Double.NaN;
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // several points: out of range as any other
        }
        throw new Unfit(400, why);
    }

    private FunctionHints facts(HttpMessage m) throws Unfit {
        boolean resent = m.count("x-resent") > 0;
        if (resent && !one(m, "x-resent").equals("1")) {
            throw new Unfit(400, "X-Resent is not 1");
        }
        double memory = 0, lanes = 0, load = 0, work = 0;
        if (m.count("x-estimate-ms") > 0) {
            work =
                    number(
                            one(m, "x-estimate-ms"),
                            0,
                            LOAD_MS,
                            false,
                            "X-Estimate-Ms is out of range");
        }
        if (m.count("x-extras") > 0) {
            for (String each : one(m, "x-extras").split(";", -1)) {
                int colon = each.indexOf(':');
                String name = colon < 0 ? "" : each.substring(0, colon).trim();
                String value = each.substring(colon + 1).trim();
                switch (name) {
                    case "memory_mb" ->
                            memory =
                                    number(
                                            value,
                                            0,
                                            mostMemory,
                                            false,
                                            "memory_mb is out of range");
                    case "lanes" -> lanes = number(value, 1, LANES, true, "lanes is out of range");
                    case "load_ms" ->
                            load = number(value, 0, LOAD_MS, false, "load_ms is out of range");
                    default -> throw new Unfit(400, "X-Extras holds an unknown figure");
                }
            }
        }
        return new FunctionHints(
                memory, (int) lanes, Math.round(load * 1_000), Math.round(work * 1_000), resent);
    }

    private static byte[] text(String line) {
        return (line + "\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * Served as the invoker gave it; a refusal says that coming again is harmless, any other end
     * that it may not be.
     */
    private static void answer(HttpServer.Exchange e, RequestOutcome end) {
        if (!e.open()) {
            return;
        }
        if (end instanceof RequestOutcome.Served served) {
            e.answer(200, served.contentType(), served.body());
            return;
        }
        byte[] why = text(Fronts.kind(end));
        if (!(end instanceof RequestOutcome.Rejected refused)) {
            e.answer(Fronts.status(end), TEXT, why);
            return;
        }
        long millis = refused.retryAfterMicros() / 1_000;
        int status = refused.reason() == RequestOutcome.Reason.TOO_MANY_IN_FLIGHT ? 429 : 503;
        if (millis > 0) {
            e.answer(status, TEXT, why, "X-Pushback-Ms", Long.toString(millis));
        } else {
            e.answer(status, TEXT, why);
        }
    }
}
