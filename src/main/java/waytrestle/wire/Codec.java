package waytrestle.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import waytrestle.ControlApi;
import waytrestle.ControlApi.Action;
import waytrestle.ControlApi.Code;
import waytrestle.ControlApi.Event;
import waytrestle.ControlApi.Group;
import waytrestle.ControlApi.Invoker;
import waytrestle.ControlApi.Repeat;
import waytrestle.ControlApi.Settings;
import waytrestle.ControlApi.Start;
import waytrestle.ControlApi.State;
import waytrestle.wire.Json.Malformed;

/** Translates between the wire's words and the interface's; it decides nothing. */
public final class Codec {
    private static final Code[] CODES = {
        Code.ERROR,
        Code.OK,
        Code.FULL,
        Code.TIMEOUT,
        Code.CONNECT_FAILED,
        Code.RESET,
        Code.CANCELLED,
        Code.MOOT,
        Code.MISS
    };
    private static final Start[] STARTS = {
        Start.UNKNOWN, Start.WARM, Start.COLD, Start.JOINED, Start.LOAD_FAILED
    };

    private Codec() {}

    /** The settings of an instance, as the simulator and the platform's configuration give them. */
    public static Settings settings(Map<String, Object> p) {
        List<ControlApi.RequestClass> classes = new ArrayList<>();
        for (Object each : Json.list(p, "lanes")) {
            classes.add(requestClass(Json.map(each, "lanes")));
        }
        List<ControlApi.Tenant> tenants = new ArrayList<>();
        for (Object each : Json.list(p, "tenants")) {
            Map<String, Object> t = Json.map(each, "tenants");
            tenants.add(
                    new ControlApi.Tenant(
                            Json.text(t, "name"),
                            Json.number(t, "share"),
                            Json.number(t, "quota_rps")));
        }
        Map<String, Object> report = Json.mapOrEmpty(p, "report");
        ControlApi.Reports how =
                switch (Json.text(report, "how")) {
                    case "answers" -> ControlApi.Reports.ANSWERS;
                    case "probe" -> ControlApi.Reports.PROBES;
                    default -> ControlApi.Reports.NONE;
                };
        return new Settings(
                (int) Json.whole(p, "me"),
                (int) Json.whole(p, "balancers"),
                (int) Json.whole(p, "zone"),
                Json.whole(p, "tick_us"),
                Json.text(p, "discovery").equals("subscribe")
                        ? ControlApi.Discovery.ASKED
                        : ControlApi.Discovery.PUSHED,
                how,
                Json.text(p, "weight_kind"),
                Json.number(p, "over_share_worth"),
                classes,
                tenants,
                limits(Json.mapOrEmpty(p, "limits")),
                rules(Json.mapOrEmpty(p, "rules")),
                loading(Json.mapOrEmpty(p, "domain")),
                prices(Json.mapOrEmpty(p, "prices")));
    }

    private static ControlApi.RequestClass requestClass(Map<String, Object> c) {
        Repeat repeat =
                switch (Json.text(c, "idempotency")) {
                    case "read_like" -> Repeat.SAFE;
                    case "idempotency_key" -> Repeat.KEYED;
                    default -> Repeat.UNSAFE;
                };
        Group group =
                switch (Json.text(c, "group")) {
                    case "all" -> Group.ALL;
                    case "zone" -> Group.ZONE;
                    default -> Group.CELL;
                };
        return new ControlApi.RequestClass(
                Json.text(c, "name"),
                repeat,
                group,
                Json.whole(c, "window_us"),
                Json.whole(c, "aim_us"),
                Json.number(c, "aim_stretch"),
                Json.whole(c, "deadline_us"),
                Json.number(c, "value"),
                Json.number(c, "late_worth"),
                Json.flag(c, "streamed"));
    }

    private static ControlApi.Limits limits(Map<String, Object> l) {
        return new ControlApi.Limits(
                (int) Json.whole(l, "max_attempts"),
                (int) Json.whole(l, "max_open"),
                Json.flag(l, "cancel"),
                Json.flag(l, "may_probe"),
                Json.flag(l, "peer_messages"),
                Json.flag(l, "second_copies"),
                Json.flag(l, "retry_after"),
                Json.whole(l, "max_retry_after_us"),
                Json.whole(l, "connect_timeout_us"));
    }

    private static ControlApi.Rules rules(Map<String, Object> r) {
        return new ControlApi.Rules(
                Json.whole(r, "answer_slack_us"),
                Json.whole(r, "drain_grace_us"),
                Json.number(r, "cold_from"),
                Json.whole(r, "warm_after_us"),
                Json.number(r, "fall_multiple"),
                Json.whole(r, "overload_for_us"),
                Json.whole(r, "ask_every_us"));
    }

    private static ControlApi.Loading loading(Map<String, Object> d) {
        List<Double> memory = new ArrayList<>();
        for (Object each : Json.list(d, "memory_mb_by_kind")) {
            memory.add(each instanceof Number number ? number.doubleValue() : 0.0);
        }
        return new ControlApi.Loading(
                Json.text(d, "not_loaded").equals("miss"),
                Json.flag(d, "placement_calls"),
                Json.flag(d, "says_warm"),
                Json.flag(d, "says_company"),
                Json.whole(d, "keep_alive_us"),
                Json.whole(d, "load_wait_us"),
                Json.number(d, "idle_memory_cost"),
                Json.number(d, "free_loads"),
                Json.number(d, "load_ratio"),
                Json.whole(d, "load_period_us"),
                memory);
    }

    private static ControlApi.Prices prices(Map<String, Object> p) {
        return new ControlApi.Prices(
                Json.number(p, "cross_zone"),
                Json.number(p, "waste"),
                Json.number(p, "probe"),
                Json.number(p, "late_fail"),
                Json.number(p, "origin"),
                Json.number(p, "peer"),
                Json.number(p, "connection"),
                Json.number(p, "handshake"),
                Json.number(p, "discovery"));
    }

    static List<Invoker> invokers(List<Object> entries) {
        List<Invoker> list = new ArrayList<>(entries.size());
        for (Object each : entries) {
            Map<String, Object> e = Json.map(each, "entries");
            State state =
                    switch ((int) Json.whole(e, "status")) {
                        case 1 -> State.READY;
                        case 2 -> State.DRAINING;
                        case 0 -> State.GONE;
                        default ->
                                throw new Malformed(
                                        "status is unknown: " + Json.whole(e, "status"));
                    };
            list.add(
                    new Invoker(
                            Json.requiredText(e, "invoker"),
                            (int) Json.whole(e, "hall"),
                            (int) Json.whole(e, "group"),
                            (int) Json.whole(e, "flavor"),
                            state,
                            e.containsKey("share") ? Json.number(e, "share") : 1,
                            Json.whole(e, "up_since_us")));
        }
        return list;
    }

    /** The event, or null for one that this adapter does not know. */
    static Event event(
            String what,
            Map<String, Object> e,
            Map<Integer, List<Invoker>> lists,
            Settings settings) {
        switch (what) {
            case "ENDPOINTS" -> {
                return listEvent(e, lists);
            }
            case "INBOUND" -> {
                int requestClass = (int) Json.whole(e, "service");
                if (requestClass < 0 || requestClass >= settings.classes().size()) {
                    throw new Malformed("service is not in the settings: " + requestClass);
                }
                return new ControlApi.Request(
                        Json.required(e, "txn"),
                        requestClass,
                        settings.tenants().isEmpty() ? -1 : (int) Json.whole(e, "org"),
                        Json.text(e, "fn"),
                        Json.whole(e, "remaining_us"),
                        Json.whole(e, "predicted_us"),
                        Json.number(e, "resident_mb"),
                        (int) Json.whole(e, "lanes"),
                        Math.round(Json.number(e, "load_ms") * 1000),
                        Json.flag(e, "repeat"),
                        Json.flag(e, "mutates"));
            }
            case "REPORT_BACK" -> {
                int detail = (int) Json.whole(e, "detail");
                int start = detail & 7;
                Code code = code(e);
                boolean company =
                        settings.loading().tellsCompany() && (code == Code.OK || code == Code.FULL);
                return new ControlApi.AttemptEnded(
                        Json.required(e, "txn"),
                        (int) Json.whole(e, "try"),
                        Json.text(e, "invoker"),
                        code,
                        Json.flag(e, "settled"),
                        Json.whole(e, "time_taken_us"),
                        start < STARTS.length ? STARTS[start] : Start.UNKNOWN,
                        company ? detail >> 3 : -1,
                        report(e));
            }
            case "ESTABLISHED" -> {
                return new ControlApi.StreamBegan(
                        Json.required(e, "txn"),
                        (int) Json.whole(e, "try"),
                        Json.text(e, "invoker"),
                        Json.whole(e, "time_taken_us"));
            }
            case "PROBED" -> {
                return new ControlApi.ProbeEnded(
                        Json.requiredText(e, "invoker"),
                        code(e),
                        Json.whole(e, "time_taken_us"),
                        report(e));
            }
            case "HELD_NOW" -> {
                return new ControlApi.OrderEnded(
                        Json.requiredText(e, "invoker"),
                        Json.requiredText(e, "fn"),
                        code(e),
                        Json.whole(e, "time_taken_us"),
                        (int) Json.whole(e, "number"));
            }
            case "CANCELLED_BY_CLIENT" -> {
                return new ControlApi.RequestGone(Json.required(e, "txn"));
            }
            case "WAKEUP" -> {
                return new ControlApi.TimerFired(Json.text(e, "tag"));
            }
            case "WHISPER" -> {
                return new ControlApi.PeerSaid((int) Json.whole(e, "origin_peer"), base64(e));
            }
            default -> {
                return null;
            }
        }
    }

    private static Event listEvent(Map<String, Object> e, Map<Integer, List<Invoker>> lists) {
        int mode = (int) Json.required(e, "mode");
        if (mode == 2) {
            return new ControlApi.InvokerListFailed();
        }
        if (mode < 0 || mode > 3) {
            throw new Malformed("mode is unknown: " + mode);
        }
        int number = (int) Json.whole(e, "roster_id");
        List<Invoker> entries = lists.get(number);
        if (entries == null) {
            throw new Malformed("roster_id names no list: " + number);
        }
        return new ControlApi.InvokerList(mode != 3, mode == 1, entries);
    }

    private static byte[] base64(Map<String, Object> e) {
        try {
            return Base64.getDecoder().decode(Json.text(e, "content"));
        } catch (IllegalArgumentException bad) {
            throw new Malformed("content is not base64");
        }
    }

    private static Code code(Map<String, Object> e) {
        long code = Json.required(e, "code");
        if (code < 0 || code >= CODES.length) {
            throw new Malformed("code is unknown: " + code);
        }
        return CODES[(int) code];
    }

    private static Map<String, Double> report(Map<String, Object> e) {
        Map<String, Object> raw = Json.mapOrEmpty(e, "telemetry");
        if (raw.isEmpty()) {
            return Map.of();
        }
        Map<String, Double> report = new HashMap<>();
        for (Map.Entry<String, Object> each : raw.entrySet()) {
            if (each.getValue() instanceof Number number) {
                report.put(each.getKey(), number.doubleValue());
            }
        }
        return report;
    }

    static void write(JsonGenerator out, Action action) throws IOException {
        out.writeStartObject();
        if (action instanceof ControlApi.Send a) {
            what(out, "DISPATCH").writeNumberField("txn", a.id());
            out.writeStringField("invoker", a.invoker());
            out.writeNumberField("abandon_at_us", a.giveUpAtMicros());
        } else if (action instanceof ControlApi.Refuse a) {
            what(out, "REFUSE").writeNumberField("txn", a.id());
            out.writeNumberField("stay_away_us", a.comeBackAfterMicros());
        } else if (action instanceof ControlApi.Fail a) {
            what(out, "ERROR").writeNumberField("txn", a.id());
        } else if (action instanceof ControlApi.Cancel a) {
            what(out, "ABANDON").writeNumberField("txn", a.id());
            out.writeNumberField("try", a.attempt());
        } else if (action instanceof ControlApi.Order a) {
            what(out, "START_COPY").writeStringField("invoker", a.invoker());
            out.writeNumberField("number", a.copies());
            out.writeStringField("fn", a.function());
        } else if (action instanceof ControlApi.Unload a) {
            what(out, "TAKE_DOWN").writeStringField("invoker", a.invoker());
            out.writeStringField("fn", a.function());
        } else if (action instanceof ControlApi.Probe a) {
            what(out, "TOUCH").writeStringField("invoker", a.invoker());
        } else if (action instanceof ControlApi.CloseIdle a) {
            what(out, "RELEASE").writeStringField("invoker", a.invoker());
        } else if (action instanceof ControlApi.TellPeer a) {
            what(out, "PUBLISH");
            if (a.peer() < 0) {
                out.writeStringField("peer", "*");
            } else {
                out.writeNumberField("peer", a.peer());
            }
            out.writeStringField("content", Base64.getEncoder().encodeToString(a.message()));
        } else if (action instanceof ControlApi.Subscribe a) {
            what(out, "TAIL").writeBooleanField("want", a.on());
        } else if (action instanceof ControlApi.FetchList) {
            what(out, "READ_LIST");
        } else if (action instanceof ControlApi.SetTimer a) {
            what(out, "SLEEP").writeNumberField("after_us", a.afterMicros());
            out.writeStringField("tag", a.tag());
        } else if (action instanceof ControlApi.Log a) {
            what(out, "REMARK").writeStringField("body_text", a.text());
        }
        out.writeEndObject();
    }

    static void writeCrash(JsonGenerator out, Throwable cause) throws IOException {
        out.writeStartObject();
        StackTraceElement[] trace = cause.getStackTrace();
        what(out, "CRASH")
                .writeStringField("body_text", cause + (trace.length > 0 ? " at " + trace[0] : ""));
        out.writeEndObject();
    }

    private static JsonGenerator what(JsonGenerator out, String name) throws IOException {
        out.writeStringField("what", name);
        return out;
    }
}
