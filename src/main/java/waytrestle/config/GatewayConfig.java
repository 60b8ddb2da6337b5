package waytrestle.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import waytrestle.access.FileAccessLog;
import waytrestle.discovery.PollFreshness;
import waytrestle.http.HttpLimits;
import waytrestle.net.SocketAddresses;
import waytrestle.overload.OverloadControl;
import waytrestle.overload.TenantQuotas;
import waytrestle.requests.IdempotencyStore;
import waytrestle.responses.HealthTrackingClassifier;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.DiscoveryMode;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.LoadReportSource;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.scheduler.SchedulerSettings.Costs;
import waytrestle.scheduler.SchedulerSettings.Limits;
import waytrestle.scheduler.SchedulerSettings.Preloading;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.scheduler.SchedulerSettings.Rules;
import waytrestle.scheduler.SchedulerSettings.Tenant;

/**
 * The whole configuration of a gateway process, checked. Names and units are those of the annotated
 * example.
 */
public record GatewayConfig(
        SchedulerSettings module,
        long seed,
        List<String> zones,
        List<String> kinds,
        InetSocketAddress listen,
        InetSocketAddress admin,
        HttpLimits http,
        int maxConnections,
        long transitMicros,
        IdempotencyStore.Bounds ids,
        List<Endpoint> endpoints,
        Map<String, Function> functions,
        Function unknownFunction,
        InvokerLink invokers,
        Roster roster,
        Peers peers,
        long stopGraceMicros,
        Faults faults,
        OverloadControl.Settings overload,
        List<TenantQuotas.TenantLimits> bounds,
        Edge edge,
        Kserve kserve,
        HealthTrackingClassifier.Settings outcomes,
        FileAccessLog.Settings access) {

    /**
     * Where signed calls come in; secrets are as given, with their prefix. The file is "" where
     * they stand here.
     */
    public record Endpoint(
            String path,
            int tenant,
            int requestClass,
            String pointer,
            String fixedFunction,
            List<String> secrets,
            String secretsFile) {}

    /** What a call tells the module of its function; 0 leaves it untold. */
    public record Function(double memoryMb, int lanes, long loadMicros, long workMicros) {}

    /** The connections to each invoker. */
    public record InvokerLink(
            int maxConnections, long idleMicros, int answerBytes, long allAnswerBytes) {}

    /**
     * Where the list of invokers comes from: fixed entries, or a health API at an address.
     *
     * @param validMicros how long the list may be acted on by itself after a query that failed;
     *     {@link PollFreshness#UNLIMITED} for ever
     */
    public record Roster(
            List<InvokerEndpoint> fixed,
            InetSocketAddress at,
            String service,
            long waitMicros,
            long retryMicros,
            long retryMostMicros,
            long validMicros) {}

    /** Other controllers, by number; an empty list when there is no talk. */
    public record Peers(InetSocketAddress listen, Map<Integer, InetSocketAddress> others) {}

    /**
     * What connections may hold: bytes of all bodies, connections of one network, address sets in
     * CIDR form.
     */
    public record Edge(
            long bodyBytes,
            int perNetwork,
            int v4Prefix,
            int v6Prefix,
            List<String> trusted,
            List<String> barred) {}

    /** The KServe front; keys by the SHA-256 of their text in hex. Without keys it is closed. */
    public record Kserve(
            int requestClass,
            Map<String, Integer> tenantByKey,
            Map<String, Integer> classByModel,
            int jsonBytes) {}

    /** When failed decisions end the process: more than so many within a span. */
    public record Faults(int most, long spanMicros) {}

    /** A leader election of the health API's servers takes less, and a drain is rarely shorter. */
    private static final double DEFAULT_LIST_VALID_MILLIS = 2_000;

    private static final double DAY = 86_400_000; // ms: no time in a configuration is longer

    public static GatewayConfig read(Path file) throws ConfigError {
        return TomlFile.read(file, GatewayConfig::from);
    }

    public static GatewayConfig from(Section root) {
        Section controller = root.sub("controller");
        List<String> zones = named(controller, "zones");
        List<Section> kindTables = root.each("kind");
        List<String> kinds = new ArrayList<>();
        List<Double> memory = new ArrayList<>();
        for (Section kind : kindTables) {
            unique(kind, kind.text("name"), kinds);
            memory.add(kind.number("memory_mb", 0, 1e9));
        }
        if (kinds.isEmpty()) {
            root.fault("kind", "at least one [[kind]] of invoker is needed");
        }
        List<RequestClass> classes = new ArrayList<>();
        List<String> classNames = new ArrayList<>();
        for (Section c : root.each("class")) {
            classes.add(requestClass(c, classNames));
        }
        if (classes.isEmpty()) {
            root.fault("class", "at least one [[class]] of calls is needed");
        }
        List<Tenant> tenants = new ArrayList<>();
        List<String> tenantNames = new ArrayList<>();
        List<TenantQuotas.TenantLimits> bounds = new ArrayList<>();
        for (Section t : root.each("tenant")) {
            unique(t, t.text("name"), tenantNames);
            tenants.add(
                    new Tenant(
                            tenantNames.get(tenantNames.size() - 1),
                            t.number("share", 0, 1),
                            t.number("quota_per_s", 0, 1e9)));
            bounds.add(
                    new TenantQuotas.TenantLimits(
                            t.number("max_per_s", 0, 1e9, 0),
                            (int) t.whole("max_open", 0, 1_000_000, 0)));
        }
        Section limits = root.sub("limits");
        Limits moduleLimits =
                new Limits(
                        (int) limits.whole("max_attempts", 1, 100),
                        (int) limits.whole("max_open", 1, 1_000_000),
                        limits.flag("cancel"),
                        limits.flag("probes"),
                        limits.flag("peers"),
                        limits.flag("overlap"),
                        limits.flag("retry_after"),
                        limits.millis("max_retry_after_ms", 0, DAY),
                        limits.millis("connect_timeout_ms", 1, 60_000));
        Section rules = root.sub("rules");
        Rules moduleRules =
                new Rules(
                        rules.millis("answer_slack_ms", 0, 60_000),
                        rules.millis("drain_grace_ms", 0, DAY),
                        rules.number("cold_share", 0, 1),
                        rules.millis("warm_after_ms", 0, DAY),
                        rules.number("fall_multiple", 0, 1e6),
                        rules.millis("overload_ms", 1, DAY),
                        rules.millis("ask_every_ms", 1, DAY));
        if (moduleLimits.connectTimeoutMicros() >= moduleRules.drainGraceMicros()) {
            limits.fault(
                    "connect_timeout_ms",
                    "must be below rules.drain_grace_ms: a connection begun before an "
                            + "invoker is told draining must not deliver after the grace");
        }
        Preloading loading = loading(root.sub("loading"), memory);
        Section p = root.sub("prices");
        Costs prices =
                new Costs(
                        price(p, "cross_zone"),
                        price(p, "waste"),
                        price(p, "probe"),
                        price(p, "late_fail"),
                        price(p, "fetch"),
                        price(p, "peer"),
                        price(p, "connection"),
                        price(p, "handshake"),
                        price(p, "list_lines"));
        Section rosterTable = root.sub("roster");
        DiscoveryMode discovery =
                rosterTable.choice("discovery", DiscoveryMode.class, GatewayConfig::word);
        Section reports = root.sub("reports");
        int count = (int) controller.whole("count", 1, 100_000);
        SchedulerSettings module =
                new SchedulerSettings(
                        (int) controller.whole("number", 0, 99_999),
                        count,
                        controller.among("zone", zones, "zone"),
                        controller.millis("tick_ms", 0.1, 1_000),
                        discovery,
                        reports.choice("how", LoadReportSource.class, GatewayConfig::word),
                        controller.text("weight_kind"),
                        controller.number("over_share_worth", 0, 1),
                        List.copyOf(classes),
                        List.copyOf(tenants),
                        moduleLimits,
                        moduleRules,
                        loading,
                        prices);
        if (module.controllerIndex() >= count) {
            controller.fault("number", "must be below controller.count, which is " + count);
        }
        Section ids = root.sub("ids");
        Section unknown = root.sub("unknown_function");
        Map<String, Function> functions = new HashMap<>();
        Map<String, Integer> classByModel = new HashMap<>();
        for (Section f : root.each("function")) {
            String name = f.text("name");
            if (functions.put(name, function(f)) != null) {
                f.fault("name", "is given twice: \"" + name + "\"");
            }
            if (f.has("class")) {
                classByModel.put(name, f.among("class", classNames, "class"));
            }
        }
        Section links = root.sub("invokers");
        Section faults = root.sub("faults");
        Section listen = root.sub("listen");
        return new GatewayConfig(
                module,
                controller.whole("seed", Long.MIN_VALUE, Long.MAX_VALUE),
                zones,
                kinds,
                address(listen, "address", null),
                address(listen, "admin", null),
                http(root.sub("http")),
                (int) listen.whole("max_connections", 1, 1_000_000, 10_000),
                listen.millis("transit_ms", 0, 60_000, 5),
                new IdempotencyStore.Bounds(
                        (int) ids.whole("entries", 1, 50_000_000, 200_000),
                        ids.whole("bytes", 1_024, 1L << 40, 256L << 20),
                        ids.whole("tolerance_s", 1, 86_400, 300)),
                endpoints(root, tenantNames, classNames),
                functions,
                unknownFunction(unknown),
                new InvokerLink(
                        (int) links.whole("max_connections", 1, 100_000, 256),
                        links.millis("idle_close_ms", 1, DAY, 15_000),
                        (int) links.whole("answer_bytes", 1, 1 << 30, 8 << 20),
                        links.whole("all_answer_bytes", 1_024, 1L << 40, 256L << 20)),
                roster(rosterTable, root, zones, kinds, moduleLimits.mayCheckHealth()),
                peers(root, count),
                root.sub("stop").millis("grace_ms", 0, DAY, 10_000),
                new Faults(
                        (int) faults.whole("most", 0, 1_000_000, 10),
                        faults.millis("within_ms", 1, DAY, 60_000)),
                overload(root.sub("overload")),
                bounds,
                edge(root.sub("edge")),
                kserve(root.sub("kserve"), tenantNames, classNames, classByModel),
                outcomes(root.sub("outcomes")),
                access(root.sub("access_log")));
    }

    private static String word(DiscoveryMode mode) {
        return switch (mode) {
            case PUSH -> "pushed";
            case POLL -> "asked";
        };
    }

    private static String word(LoadReportSource source) {
        return switch (source) {
            case RESPONSES -> "answers";
            case HEALTH_CHECKS -> "probes";
            case NONE -> "none";
        };
    }

    private static String word(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "safe";
            case KEYED -> "keyed";
            case NON_IDEMPOTENT -> "unsafe";
        };
    }

    private static List<String> named(Section s, String key) {
        List<String> names = s.texts(key);
        if (names.isEmpty()) {
            s.fault(key, "at least one name is needed");
            return List.of("");
        }
        if (new HashSet<>(names).size() != names.size()) {
            s.fault(key, "a name is given twice");
        }
        return names;
    }

    private static void unique(Section s, String name, List<String> names) {
        if (names.contains(name)) {
            s.fault("name", "is given twice: \"" + name + "\"");
        }
        names.add(name);
    }

    private static double price(Section s, String key) {
        return s.number(key, 0, 1e6);
    }

    private static RequestClass requestClass(Section c, List<String> names) {
        unique(c, c.text("name"), names);
        Idempotency repeat = c.choice("repeat", Idempotency.class, GatewayConfig::word);
        boolean keyed = repeat == Idempotency.KEYED;
        if (!keyed && (c.has("group") || c.has("window_ms"))) {
            c.fault(c.has("group") ? "group" : "window_ms", "only a keyed class has one");
        }
        long aim = c.millis("aim_ms", 1, DAY);
        long deadline = c.millis("deadline_ms", 1, DAY);
        if (aim > deadline) {
            c.fault("aim_ms", "must not be over deadline_ms");
        }
        DeduplicationScope group =
                keyed ? c.choice("group", DeduplicationScope.class) : DeduplicationScope.ALL;
        long window = keyed ? c.millis("window_ms", 1, DAY) : 0;
        return new RequestClass(
                names.get(names.size() - 1),
                repeat,
                group,
                window,
                aim,
                c.number("aim_stretch", 0, 1e6),
                deadline,
                c.number("worth", 0, 1e9),
                c.number("late_worth", 0, 1),
                false);
    }

    private static Preloading loading(Section s, List<Double> memory) {
        return new Preloading(
                s.flag("miss_answers"),
                s.flag("orders"),
                s.flag("tells_start"),
                s.flag("tells_company"),
                s.millis("keep_alive_ms", 1, DAY),
                s.millis("order_wait_ms", 1, DAY),
                s.number("idle_memory_price", 0, 1e6),
                s.number("free_orders", 0, 1e9),
                s.number("orders_per_call", 0, 1e6),
                s.millis("order_period_ms", 0, DAY),
                List.copyOf(memory));
    }

    private static Function function(Section f) {
        return new Function(
                f.number("memory_mb", 0, 1e9, 0),
                (int) f.whole("lanes", 0, 100_000, 0),
                f.millis("load_ms", 0, DAY, 0),
                f.millis("work_ms", 0, DAY, 0));
    }

    private static Function unknownFunction(Section s) {
        Function told = function(s);
        return s.flag("accept", true) ? told : null;
    }

    private static HttpLimits http(Section h) {
        HttpLimits d = HttpLimits.DEFAULT;
        return new HttpLimits(
                (int) h.whole("start_line_bytes", 64, 1 << 20, d.startLineBytes()),
                (int) h.whole("headers", 1, 10_000, d.headerCount()),
                (int) h.whole("header_bytes", 256, 1 << 24, d.headerBytes()),
                (int) h.whole("body_bytes", 0, 1 << 30, d.bodyBytes()),
                h.millis("head_ms", 1, DAY, d.headMicros() / 1e3),
                h.millis("body_ms", 1, DAY, d.bodyMicros() / 1e3),
                h.millis("idle_ms", 1, DAY, d.idleMicros() / 1e3),
                h.millis("write_ms", 1, DAY, d.writeMicros() / 1e3));
    }

    private static List<Endpoint> endpoints(
            Section root, List<String> tenants, List<String> classes) {
        List<Endpoint> all = new ArrayList<>();
        Set<String> paths = new HashSet<>();
        for (Section e : root.each("endpoint")) {
            String path = e.text("path");
            if (!path.isEmpty() && !path.startsWith("/")) {
                e.fault("path", "must begin with /");
            }
            if (!paths.add(path)) {
                e.fault("path", "is given twice: \"" + path + "\"");
            }
            int tenant =
                    tenants.isEmpty() && !e.has("tenant")
                            ? -1
                            : e.among("tenant", tenants, "tenant");
            int kind = e.among("class", classes, "class");
            String pointer = e.text("function_pointer", "");
            String fixed = e.text("function", "");
            if (pointer.isEmpty() == fixed.isEmpty()) {
                e.fault(
                        "function_pointer",
                        "give either function_pointer, a JSON pointer, or function, a name");
            } else if (!pointer.isEmpty() && !pointer.startsWith("/")) {
                e.fault(
                        "function_pointer",
                        "must be a JSON pointer (RFC 6901), as in \"/data/function\"");
            }
            String file = e.text("secrets_file", "");
            List<String> secrets = file.isEmpty() ? e.texts("secrets") : List.of();
            if (!file.isEmpty() && e.has("secrets")) {
                e.fault("secrets_file", "give either secrets or secrets_file");
            } else if (!file.isEmpty()) {
                try {
                    secrets = SecretsFile.read(file);
                } catch (IOException wrong) {
                    e.fault("secrets_file", wrong.getMessage());
                }
            } else if (secrets.isEmpty()) {
                e.fault("secrets", "at least one is needed, or secrets_file");
            }
            for (String secret : secrets) {
                String wrong = SecretForm.wrong(secret);
                if (wrong != null) {
                    e.fault("secrets", wrong);
                }
            }
            all.add(new Endpoint(path, tenant, kind, pointer, fixed, secrets, file));
        }
        if (all.isEmpty()) {
            root.fault("endpoint", "at least one [[endpoint]] is needed");
        }
        return all;
    }

    private static OverloadControl.Settings overload(Section s) {
        return new OverloadControl.Settings(
                s.flag("on", true),
                (int) s.whole("least_open", 1, 1_000_000, 32),
                s.number("retry_share", 0, 10, 0.2),
                s.number("retries_per_s", 0, 1e6, 10));
    }

    private static HealthTrackingClassifier.Settings outcomes(Section s) {
        return new HealthTrackingClassifier.Settings(
                s.number("attempts_per_call", 1, 100, 2),
                (int) s.whole("failed_tries", 1, 100, 2),
                s.number("eject_share", 0, 1, 0.3),
                (int) s.whole("breaker_calls", 1, 1_000_000, 5),
                s.millis("breaker_pause_ms", 1, DAY, 250),
                s.millis("breaker_most_ms", 1, DAY, 1_000),
                (int) s.whole("functions", 1, 10_000_000, 20_000));
    }

    private static FileAccessLog.Settings access(Section s) {
        String file = s.text("file", "");
        if (file.isEmpty() && (s.has("share") || s.has("queue"))) {
            s.fault("file", "is missing: without it there is no access log");
        }
        return new FileAccessLog.Settings(
                file, s.number("share", 0, 1, 1), (int) s.whole("queue", 16, 10_000_000, 8_192));
    }

    private static Edge edge(Section s) {
        Edge edge =
                new Edge(
                        s.whole("body_bytes", 1_024, 1L << 40, 256L << 20),
                        (int) s.whole("connections_per_network", 1, 1_000_000, 5_000),
                        (int) s.whole("v4_prefix", 0, 32, 24),
                        (int) s.whole("v6_prefix", 0, 128, 64),
                        s.texts("trusted"),
                        s.texts("barred"));
        for (String key : List.of("trusted", "barred")) {
            for (String each : key.equals("trusted") ? edge.trusted() : edge.barred()) {
                if (!Networks.valid(each)) {
                    s.fault(
                            key,
                            "must hold networks as 10.0.0.0/8 or 2001:db8::/32, not \""
                                    + each
                                    + "\"");
                }
            }
        }
        return edge;
    }

    private static Kserve kserve(
            Section s, List<String> tenants, List<String> classes, Map<String, Integer> byModel) {
        Map<String, Integer> keys = new HashMap<>();
        for (Section k : s.each("key")) {
            int tenant =
                    tenants.isEmpty() && !k.has("tenant")
                            ? -1
                            : k.among("tenant", tenants, "tenant");
            String hash = k.text("sha256");
            if (!hash.isEmpty() && !hash.matches("[0-9a-f]{64}")) {
                k.fault(
                        "sha256",
                        "must be the SHA-256 of the bearer key, 64 hex figures in lower case");
            }
            if (keys.put(hash, tenant) != null) {
                k.fault("sha256", "is given twice");
            }
        }
        int kind = keys.isEmpty() && !s.has("class") ? 0 : s.among("class", classes, "class");
        return new Kserve(kind, keys, byModel, (int) s.whole("json_bytes", 256, 1 << 30, 1 << 20));
    }

    private static Roster roster(
            Section r,
            Section root,
            List<String> zones,
            List<String> kinds,
            boolean mayCheckHealth) {
        List<InvokerEndpoint> fixed = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (Section i : root.each("invoker")) {
            InetSocketAddress at = address(i, "address", null);
            String id = at == null ? "" : id(at);
            if (!ids.add(id)) {
                i.fault("address", "is given twice: " + id);
            }
            fixed.add(
                    new InvokerEndpoint(
                            id,
                            i.among("zone", zones, "zone"),
                            (int) i.whole("cell", 0, 1_000_000, 0),
                            i.among("kind", kinds, "kind"),
                            EndpointState.READY,
                            i.number("weight", 0, 1e6, 1),
                            0));
        }
        InetSocketAddress at = r.has("address") ? address(r, "address", null) : null;
        String service = r.text("service", "invokers");
        if (at == null == fixed.isEmpty()) {
            r.fault(
                    at == null ? "" : "address",
                    "give either roster.address, a health API, or [[invoker]] entries");
        }
        return new Roster(
                fixed,
                at,
                service,
                r.millis("wait_ms", 1, 600_000, 10_000),
                r.millis("retry_ms", 1, DAY, 200),
                r.millis("retry_most_ms", 1, DAY, 5_000),
                validMicros(r, mayCheckHealth));
    }

    /**
     * Without health checks nothing but the list tells of an invoker: then it is acted on for ever,
     * unless the setting says otherwise.
     */
    private static long validMicros(Section roster, boolean mayCheckHealth) {
        if (!roster.has("valid_ms") && !mayCheckHealth) {
            return PollFreshness.UNLIMITED;
        }
        return roster.millis("valid_ms", 0, DAY, DEFAULT_LIST_VALID_MILLIS);
    }

    private static Peers peers(Section root, int count) {
        Section p = root.sub("peers");
        InetSocketAddress listen = p.has("listen") ? address(p, "listen", null) : null;
        Map<Integer, InetSocketAddress> others = new HashMap<>();
        for (Section o : p.each("peer")) {
            int number = (int) o.whole("number", 0, Math.max(0, count - 1));
            if (others.put(number, address(o, "address", null)) != null) {
                o.fault("number", "is given twice: " + number);
            }
        }
        if (listen == null && !others.isEmpty()) {
            p.fault("listen", "is missing: peers answer to it");
        }
        return new Peers(listen, others);
    }

    /** An address and port in figures; names would need look-ups, which block. */
    private static InetSocketAddress address(Section s, String key, InetSocketAddress otherwise) {
        if (!s.has(key) && otherwise != null) {
            return otherwise;
        }
        String text = s.text(key);
        InetSocketAddress at = parse(text);
        if (at == null && !text.isEmpty()) {
            s.fault(
                    key,
                    "must be address:port in figures, as 127.0.0.1:8080 or [::1]:8080, not \""
                            + text
                            + "\"");
        }
        return at;
    }

    /** Reads address:port in figures, without any look-up; null where it is not one. */
    public static InetSocketAddress parse(String text) {
        return SocketAddresses.parse(text).orElse(null);
    }

    /** The id of an invoker: its address and port. */
    public static String id(InetSocketAddress at) {
        return SocketAddresses.format(at);
    }
}
