package waytrestle.bench;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import waytrestle.json.JsonObjectReader;
import waytrestle.json.JsonObjectReader.Malformed;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.DiscoveryMode;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.LoadReportSource;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerCommand;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.scheduler.SchedulerTimer;
import waytrestle.scheduler.StartKind;

/** Translates between the wire's words and the interface's; it decides nothing. */
public final class BenchCodec {
    private static final ResponseCode[] CODES = {
        ResponseCode.ERROR,
        ResponseCode.OK,
        ResponseCode.FULL,
        ResponseCode.TIMEOUT,
        ResponseCode.CONNECT_FAILED,
        ResponseCode.RESET,
        ResponseCode.CANCELLED,
        ResponseCode.NOT_SENT,
        ResponseCode.NOT_LOADED
    };
    private static final StartKind[] STARTS = {
        StartKind.UNKNOWN, StartKind.WARM, StartKind.COLD, StartKind.JOINED, StartKind.LOAD_FAILED
    };

    private static final String MAINTENANCE_TAG = "upkeep";
    private static final String RESUBSCRIPTION_TAG = "subscribe";
    private static final String DEADLINE_TAG = "end:";
    private static final String RETRY_TAG = "hold:";

    private BenchCodec() {}

    /** The settings of an instance, as the simulator and the platform's configuration give them. */
    public static SchedulerSettings settings(Map<String, Object> p) {
        List<SchedulerSettings.RequestClass> classes = new ArrayList<>();
        for (Object each : JsonObjectReader.list(p, "lanes")) {
            classes.add(requestClass(JsonObjectReader.map(each, "lanes")));
        }
        List<SchedulerSettings.Tenant> tenants = new ArrayList<>();
        for (Object each : JsonObjectReader.list(p, "tenants")) {
            Map<String, Object> t = JsonObjectReader.map(each, "tenants");
            tenants.add(
                    new SchedulerSettings.Tenant(
                            JsonObjectReader.text(t, "name"),
                            JsonObjectReader.number(t, "share"),
                            JsonObjectReader.number(t, "quota_rps")));
        }
        Map<String, Object> report = JsonObjectReader.mapOrEmpty(p, "report");
        LoadReportSource how =
                switch (JsonObjectReader.text(report, "how")) {
                    case "answers" -> LoadReportSource.RESPONSES;
                    case "probe" -> LoadReportSource.HEALTH_CHECKS;
                    default -> LoadReportSource.NONE;
                };
        return new SchedulerSettings(
                (int) JsonObjectReader.whole(p, "me"),
                (int) JsonObjectReader.whole(p, "balancers"),
                (int) JsonObjectReader.whole(p, "zone"),
                JsonObjectReader.whole(p, "tick_us"),
                JsonObjectReader.text(p, "discovery").equals("subscribe")
                        ? DiscoveryMode.POLL
                        : DiscoveryMode.PUSH,
                how,
                JsonObjectReader.text(p, "weight_kind"),
                JsonObjectReader.number(p, "over_share_worth"),
                classes,
                tenants,
                limits(JsonObjectReader.mapOrEmpty(p, "limits")),
                rules(JsonObjectReader.mapOrEmpty(p, "rules")),
                loading(JsonObjectReader.mapOrEmpty(p, "domain")),
                prices(JsonObjectReader.mapOrEmpty(p, "prices")));
    }

    private static SchedulerSettings.RequestClass requestClass(Map<String, Object> c) {
        Idempotency repeat =
                switch (JsonObjectReader.text(c, "idempotency")) {
                    case "read_like" -> Idempotency.IDEMPOTENT;
                    case "idempotency_key" -> Idempotency.KEYED;
                    default -> Idempotency.NON_IDEMPOTENT;
                };
        DeduplicationScope group =
                switch (JsonObjectReader.text(c, "group")) {
                    case "all" -> DeduplicationScope.ALL;
                    case "zone" -> DeduplicationScope.ZONE;
                    default -> DeduplicationScope.CELL;
                };
        return new SchedulerSettings.RequestClass(
                JsonObjectReader.text(c, "name"),
                repeat,
                group,
                JsonObjectReader.whole(c, "window_us"),
                JsonObjectReader.whole(c, "aim_us"),
                JsonObjectReader.number(c, "aim_stretch"),
                JsonObjectReader.whole(c, "deadline_us"),
                JsonObjectReader.number(c, "value"),
                JsonObjectReader.number(c, "late_worth"),
                JsonObjectReader.flag(c, "streamed"));
    }

    private static SchedulerSettings.Limits limits(Map<String, Object> l) {
        return new SchedulerSettings.Limits(
                (int) JsonObjectReader.whole(l, "max_attempts"),
                (int) JsonObjectReader.whole(l, "max_open"),
                JsonObjectReader.flag(l, "cancel"),
                JsonObjectReader.flag(l, "may_probe"),
                JsonObjectReader.flag(l, "peer_messages"),
                JsonObjectReader.flag(l, "second_copies"),
                JsonObjectReader.flag(l, "retry_after"),
                JsonObjectReader.whole(l, "max_retry_after_us"),
                JsonObjectReader.whole(l, "connect_timeout_us"));
    }

    private static SchedulerSettings.Rules rules(Map<String, Object> r) {
        return new SchedulerSettings.Rules(
                JsonObjectReader.whole(r, "answer_slack_us"),
                JsonObjectReader.whole(r, "drain_grace_us"),
                JsonObjectReader.number(r, "cold_from"),
                JsonObjectReader.whole(r, "warm_after_us"),
                JsonObjectReader.number(r, "fall_multiple"),
                JsonObjectReader.whole(r, "overload_for_us"),
                JsonObjectReader.whole(r, "ask_every_us"));
    }

    private static SchedulerSettings.Preloading loading(Map<String, Object> d) {
        List<Double> memory = new ArrayList<>();
        for (Object each : JsonObjectReader.list(d, "memory_mb_by_kind")) {
            memory.add(each instanceof Number number ? number.doubleValue() : 0.0);
        }
        return new SchedulerSettings.Preloading(
                JsonObjectReader.text(d, "not_loaded").equals("miss"),
                JsonObjectReader.flag(d, "placement_calls"),
                JsonObjectReader.flag(d, "says_warm"),
                JsonObjectReader.flag(d, "says_company"),
                JsonObjectReader.whole(d, "keep_alive_us"),
                JsonObjectReader.whole(d, "load_wait_us"),
                JsonObjectReader.number(d, "idle_memory_cost"),
                JsonObjectReader.number(d, "free_loads"),
                JsonObjectReader.number(d, "load_ratio"),
                JsonObjectReader.whole(d, "load_period_us"),
                memory);
    }

    private static SchedulerSettings.Costs prices(Map<String, Object> p) {
        return new SchedulerSettings.Costs(
                JsonObjectReader.number(p, "cross_zone"),
                JsonObjectReader.number(p, "waste"),
                JsonObjectReader.number(p, "probe"),
                JsonObjectReader.number(p, "late_fail"),
                JsonObjectReader.number(p, "origin"),
                JsonObjectReader.number(p, "peer"),
                JsonObjectReader.number(p, "connection"),
                JsonObjectReader.number(p, "handshake"),
                JsonObjectReader.number(p, "discovery"));
    }

    static List<InvokerEndpoint> invokers(List<Object> entries) {
        List<InvokerEndpoint> list = new ArrayList<>(entries.size());
        for (Object each : entries) {
            Map<String, Object> e = JsonObjectReader.map(each, "entries");
            EndpointState state =
                    switch ((int) JsonObjectReader.whole(e, "status")) {
                        case 1 -> EndpointState.READY;
                        case 2 -> EndpointState.DRAINING;
                        case 0 -> EndpointState.GONE;
                        default ->
                                throw new Malformed(
                                        "status is unknown: "
                                                + JsonObjectReader.whole(e, "status"));
                    };
            list.add(
                    new InvokerEndpoint(
                            JsonObjectReader.requiredText(e, "invoker"),
                            (int) JsonObjectReader.whole(e, "hall"),
                            (int) JsonObjectReader.whole(e, "group"),
                            (int) JsonObjectReader.whole(e, "flavor"),
                            state,
                            e.containsKey("share") ? JsonObjectReader.number(e, "share") : 1,
                            JsonObjectReader.whole(e, "up_since_us")));
        }
        return list;
    }

    /** The event, or null for one that this adapter does not know. */
    static SchedulerEvent event(
            String what,
            Map<String, Object> e,
            Map<Integer, List<InvokerEndpoint>> lists,
            SchedulerSettings settings) {
        switch (what) {
            case "ENDPOINTS" -> {
                return listEvent(e, lists);
            }
            case "INBOUND" -> {
                int requestClass = (int) JsonObjectReader.whole(e, "service");
                if (requestClass < 0 || requestClass >= settings.classes().size()) {
                    throw new Malformed("service is not in the settings: " + requestClass);
                }
                return new SchedulerEvent.RequestReceived(
                        JsonObjectReader.required(e, "txn"),
                        requestClass,
                        settings.tenants().isEmpty() ? -1 : (int) JsonObjectReader.whole(e, "org"),
                        JsonObjectReader.text(e, "fn"),
                        JsonObjectReader.whole(e, "remaining_us"),
                        JsonObjectReader.whole(e, "predicted_us"),
                        JsonObjectReader.number(e, "resident_mb"),
                        (int) JsonObjectReader.whole(e, "lanes"),
                        Math.round(JsonObjectReader.number(e, "load_ms") * 1000),
                        JsonObjectReader.flag(e, "repeat"),
                        JsonObjectReader.flag(e, "mutates"));
            }
            case "REPORT_BACK" -> {
                int detail = (int) JsonObjectReader.whole(e, "detail");
                int start = detail & 7;
                ResponseCode code = code(e);
                boolean company =
                        settings.preloading().reportsConcurrency()
                                && (code == ResponseCode.OK || code == ResponseCode.FULL);
                return new SchedulerEvent.AttemptCompleted(
                        JsonObjectReader.required(e, "txn"),
                        (int) JsonObjectReader.whole(e, "try"),
                        JsonObjectReader.text(e, "invoker"),
                        code,
                        JsonObjectReader.flag(e, "settled"),
                        JsonObjectReader.whole(e, "time_taken_us"),
                        start < STARTS.length ? STARTS[start] : StartKind.UNKNOWN,
                        company ? detail >> 3 : -1,
                        report(e));
            }
            case "ESTABLISHED" -> {
                return new SchedulerEvent.StreamStarted(
                        JsonObjectReader.required(e, "txn"),
                        (int) JsonObjectReader.whole(e, "try"),
                        JsonObjectReader.text(e, "invoker"),
                        JsonObjectReader.whole(e, "time_taken_us"));
            }
            case "PROBED" -> {
                return new SchedulerEvent.HealthCheckCompleted(
                        JsonObjectReader.requiredText(e, "invoker"),
                        code(e),
                        JsonObjectReader.whole(e, "time_taken_us"),
                        report(e));
            }
            case "HELD_NOW" -> {
                return new SchedulerEvent.PreloadCompleted(
                        JsonObjectReader.requiredText(e, "invoker"),
                        JsonObjectReader.requiredText(e, "fn"),
                        code(e),
                        JsonObjectReader.whole(e, "time_taken_us"),
                        (int) JsonObjectReader.whole(e, "number"));
            }
            case "CANCELLED_BY_CLIENT" -> {
                return new SchedulerEvent.RequestAbandoned(JsonObjectReader.required(e, "txn"));
            }
            case "WAKEUP" -> {
                return new SchedulerEvent.TimerExpired(timer(JsonObjectReader.text(e, "tag")));
            }
            case "WHISPER" -> {
                return new SchedulerEvent.GossipReceived(
                        (int) JsonObjectReader.whole(e, "origin_peer"), base64(e));
            }
            default -> {
                return null;
            }
        }
    }

    private static SchedulerEvent listEvent(
            Map<String, Object> e, Map<Integer, List<InvokerEndpoint>> lists) {
        int mode = (int) JsonObjectReader.required(e, "mode");
        if (mode == 2) {
            return new SchedulerEvent.EndpointUpdateFailed();
        }
        if (mode < 0 || mode > 3) {
            throw new Malformed("mode is unknown: " + mode);
        }
        int number = (int) JsonObjectReader.whole(e, "roster_id");
        List<InvokerEndpoint> entries = lists.get(number);
        if (entries == null) {
            throw new Malformed("roster_id names no list: " + number);
        }
        return new SchedulerEvent.EndpointsUpdated(mode != 3, mode == 1, entries);
    }

    private static byte[] base64(Map<String, Object> e) {
        try {
            return Base64.getDecoder().decode(JsonObjectReader.text(e, "content"));
        } catch (IllegalArgumentException bad) {
            throw new Malformed("content is not base64");
        }
    }

    private static ResponseCode code(Map<String, Object> e) {
        long code = JsonObjectReader.required(e, "code");
        if (code < 0 || code >= CODES.length) {
            throw new Malformed("code is unknown: " + code);
        }
        return CODES[(int) code];
    }

    private static Map<String, Double> report(Map<String, Object> e) {
        Map<String, Object> raw = JsonObjectReader.mapOrEmpty(e, "telemetry");
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

    static void write(JsonGenerator out, SchedulerCommand action) throws IOException {
        out.writeStartObject();
        if (action instanceof SchedulerCommand.ForwardAttempt a) {
            what(out, "DISPATCH").writeNumberField("txn", a.id());
            out.writeStringField("invoker", a.invoker());
            out.writeNumberField("abandon_at_us", a.giveUpAtMicros());
        } else if (action instanceof SchedulerCommand.RejectRequest a) {
            what(out, "REFUSE").writeNumberField("txn", a.id());
            out.writeNumberField("stay_away_us", a.retryAfterMicros());
        } else if (action instanceof SchedulerCommand.FailRequest a) {
            what(out, "ERROR").writeNumberField("txn", a.id());
        } else if (action instanceof SchedulerCommand.CancelAttempt a) {
            what(out, "ABANDON").writeNumberField("txn", a.id());
            out.writeNumberField("try", a.attempt());
        } else if (action instanceof SchedulerCommand.PreloadFunction a) {
            what(out, "START_COPY").writeStringField("invoker", a.invoker());
            out.writeNumberField("number", a.instances());
            out.writeStringField("fn", a.function());
        } else if (action instanceof SchedulerCommand.UnloadFunction a) {
            what(out, "TAKE_DOWN").writeStringField("invoker", a.invoker());
            out.writeStringField("fn", a.function());
        } else if (action instanceof SchedulerCommand.CheckHealth a) {
            what(out, "TOUCH").writeStringField("invoker", a.invoker());
        } else if (action instanceof SchedulerCommand.CloseIdleConnections a) {
            what(out, "RELEASE").writeStringField("invoker", a.invoker());
        } else if (action instanceof SchedulerCommand.SendGossip a) {
            what(out, "PUBLISH");
            if (a.peer() < 0) {
                out.writeStringField("peer", "*");
            } else {
                out.writeNumberField("peer", a.peer());
            }
            out.writeStringField("content", Base64.getEncoder().encodeToString(a.message()));
        } else if (action instanceof SchedulerCommand.SubscribeToEndpoints a) {
            what(out, "TAIL").writeBooleanField("want", a.enabled());
        } else if (action instanceof SchedulerCommand.FetchEndpoints) {
            what(out, "READ_LIST");
        } else if (action instanceof SchedulerCommand.SetTimer a) {
            what(out, "SLEEP").writeNumberField("after_us", a.afterMicros());
            out.writeStringField("tag", tag(a.timer()));
        } else if (action instanceof SchedulerCommand.LogMessage a) {
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

    private static String tag(SchedulerTimer timer) {
        if (timer instanceof SchedulerTimer.RequestDeadline deadline) {
            return DEADLINE_TAG + deadline.requestId();
        }
        if (timer instanceof SchedulerTimer.QueuedRequestRetry retry) {
            return RETRY_TAG + retry.requestId();
        }
        return timer instanceof SchedulerTimer.Maintenance ? MAINTENANCE_TAG : RESUBSCRIPTION_TAG;
    }

    private static SchedulerTimer timer(String tag) {
        if (tag.equals(MAINTENANCE_TAG)) {
            return new SchedulerTimer.Maintenance();
        }
        if (tag.equals(RESUBSCRIPTION_TAG)) {
            return new SchedulerTimer.EndpointResubscription();
        }
        try {
            if (tag.startsWith(DEADLINE_TAG)) {
                long requestId = Long.parseLong(tag.substring(DEADLINE_TAG.length()));
                return new SchedulerTimer.RequestDeadline(requestId);
            }
            if (tag.startsWith(RETRY_TAG)) {
                long requestId = Long.parseLong(tag.substring(RETRY_TAG.length()));
                return new SchedulerTimer.QueuedRequestRetry(requestId);
            }
        } catch (NumberFormatException e) {
            throw new Malformed("tag holds no request's number: " + tag);
        }
        throw new Malformed("tag is unknown: " + tag);
    }
}
