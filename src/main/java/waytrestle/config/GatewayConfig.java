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
        SchedulerSettings schedulerSettings,
        long seed,
        List<String> zones,
        List<String> invokerKinds,
        InetSocketAddress listenAddress,
        InetSocketAddress adminAddress,
        HttpLimits httpLimits,
        int maxConnections,
        long transitMicros,
        IdempotencyStore.Bounds idempotencyBounds,
        List<WebhookEndpoint> webhookEndpoints,
        Map<String, DeclaredFunction> functions,
        DeclaredFunction unknownFunction,
        InvokerConnections invokerConnections,
        Discovery discovery,
        Gossip gossip,
        long shutdownGraceMicros,
        FailureLimit failureLimit,
        OverloadControl.Settings overload,
        List<TenantQuotas.TenantLimits> tenantLimits,
        ConnectionLimits connectionLimits,
        Kserve kserve,
        HealthTrackingClassifier.Settings classifier,
        FileAccessLog.Settings accessLog) {

    /**
     * Where signed calls come in; secrets are as given, with their prefix. The file is "" where
     * they stand here.
     */
    public record WebhookEndpoint(
            String path,
            int tenant,
            int requestClass,
            String functionPointer,
            String fixedFunction,
            List<String> secrets,
            String secretsFile) {}

    /** What a call tells the module of its function; 0 leaves it untold. */
    public record DeclaredFunction(
            double memoryMb, int concurrencyPerInstance, long loadMicros, long workMicros) {}

    /** The connections to each invoker. */
    public record InvokerConnections(
            int maxConnections,
            long idleCloseMicros,
            int maxResponseBytes,
            long maxTotalResponseBytes) {}

    /**
     * Where the list of invokers comes from: fixed entries, or a health API at an address.
     *
     * @param validAfterFailureMicros how long the list may be acted on by itself after a query that
     *     failed; {@link PollFreshness#UNLIMITED} for ever
     */
    public record Discovery(
            List<InvokerEndpoint> fixedEndpoints,
            InetSocketAddress healthApiAddress,
            String service,
            long queryWaitMicros,
            long minRetryPauseMicros,
            long maxRetryPauseMicros,
            long validAfterFailureMicros) {}

    /** Other controllers, by number; an empty list when there is no talk. */
    public record Gossip(
            InetSocketAddress listenAddress, Map<Integer, InetSocketAddress> peerAddresses) {}

    /**
     * What connections may hold: bytes of all bodies, connections of one network, address sets in
     * CIDR form.
     */
    public record ConnectionLimits(
            long maxTotalBodyBytes,
            int maxPerNetwork,
            int ipv4PrefixBits,
            int ipv6PrefixBits,
            List<String> trustedNetworks,
            List<String> barredNetworks) {}

    /** The KServe front; keys by the SHA-256 of their text in hex. Without keys it is closed. */
    public record Kserve(
            int requestClass,
            Map<String, Integer> tenantByKeyHash,
            Map<String, Integer> classByModel,
            int maxJsonBytes) {}

    /** When failed decisions end the process: more than so many within a span. */
    public record FailureLimit(int maxFailures, long windowMicros) {}

    /** A leader election of the health API's servers takes less, and a drain is rarely shorter. */
    private static final double DEFAULT_LIST_VALID_MILLIS = 2_000;

    private static final double DAY = 86_400_000; // ms: no time in a configuration is longer

    public static GatewayConfig read(Path file) throws ConfigException {
        return TomlFile.read(file, GatewayConfig::from);
    }

    public static GatewayConfig from(Section root) {
        Section controller = root.subsection("controller");
        List<String> zones = named(controller, "zones");
        List<Section> kindTables = root.subsections("kind");
        List<String> kinds = new ArrayList<>();
        List<Double> memory = new ArrayList<>();
        for (Section kind : kindTables) {
            unique(kind, kind.text("name"), kinds);
            memory.add(kind.number("memory_mb", 0, 1e9));
        }
        if (kinds.isEmpty()) {
            root.addError("kind", "at least one [[kind]] of invoker is needed");
        }
        List<RequestClass> classes = new ArrayList<>();
        List<String> classNames = new ArrayList<>();
        for (Section c : root.subsections("class")) {
            classes.add(requestClass(c, classNames));
        }
        if (classes.isEmpty()) {
            root.addError("class", "at least one [[class]] of calls is needed");
        }
        List<Tenant> tenants = new ArrayList<>();
        List<String> tenantNames = new ArrayList<>();
        List<TenantQuotas.TenantLimits> bounds = new ArrayList<>();
        for (Section t : root.subsections("tenant")) {
            unique(t, t.text("name"), tenantNames);
            tenants.add(
                    new Tenant(
                            tenantNames.get(tenantNames.size() - 1),
                            t.number("share", 0, 1),
                            t.number("quota_per_s", 0, 1e9)));
            bounds.add(
                    new TenantQuotas.TenantLimits(
                            t.number("max_per_s", 0, 1e9, 0),
                            (int) t.integer("max_open", 0, 1_000_000, 0)));
        }
        Section limits = root.subsection("limits");
        Limits moduleLimits =
                new Limits(
                        (int) limits.integer("max_attempts", 1, 100),
                        (int) limits.integer("max_open", 1, 1_000_000),
                        limits.flag("cancel"),
                        limits.flag("probes"),
                        limits.flag("peers"),
                        limits.flag("overlap"),
                        limits.flag("retry_after"),
                        limits.microsFromMillis("max_retry_after_ms", 0, DAY),
                        limits.microsFromMillis("connect_timeout_ms", 1, 60_000));
        Section rules = root.subsection("rules");
        Rules moduleRules =
                new Rules(
                        rules.microsFromMillis("answer_slack_ms", 0, 60_000),
                        rules.microsFromMillis("drain_grace_ms", 0, DAY),
                        rules.number("cold_share", 0, 1),
                        rules.microsFromMillis("warm_after_ms", 0, DAY),
                        rules.number("fall_multiple", 0, 1e6),
                        rules.microsFromMillis("overload_ms", 1, DAY),
                        rules.microsFromMillis("ask_every_ms", 1, DAY));
        if (moduleLimits.connectTimeoutMicros() >= moduleRules.drainGraceMicros()) {
            limits.addError(
                    "connect_timeout_ms",
                    "must be below rules.drain_grace_ms: a connection begun before an "
                            + "invoker is told draining must not deliver after the grace");
        }
        Preloading loading = loading(root.subsection("loading"), memory);
        Section p = root.subsection("prices");
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
        Section rosterTable = root.subsection("roster");
        DiscoveryMode discovery =
                rosterTable.choice("discovery", DiscoveryMode.class, GatewayConfig::word);
        Section reports = root.subsection("reports");
        int count = (int) controller.integer("count", 1, 100_000);
        SchedulerSettings module =
                new SchedulerSettings(
                        (int) controller.integer("number", 0, 99_999),
                        count,
                        controller.indexIn("zone", zones, "zone"),
                        controller.microsFromMillis("tick_ms", 0.1, 1_000),
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
            controller.addError("number", "must be below controller.count, which is " + count);
        }
        Section ids = root.subsection("ids");
        Section unknown = root.subsection("unknown_function");
        Map<String, DeclaredFunction> functions = new HashMap<>();
        Map<String, Integer> classByModel = new HashMap<>();
        for (Section f : root.subsections("function")) {
            String name = f.text("name");
            if (functions.put(name, function(f)) != null) {
                f.addError("name", "is given twice: \"" + name + "\"");
            }
            if (f.has("class")) {
                classByModel.put(name, f.indexIn("class", classNames, "class"));
            }
        }
        Section links = root.subsection("invokers");
        Section faults = root.subsection("faults");
        Section listen = root.subsection("listen");
        return new GatewayConfig(
                module,
                controller.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE),
                zones,
                kinds,
                address(listen, "address", null),
                address(listen, "admin", null),
                http(root.subsection("http")),
                (int) listen.integer("max_connections", 1, 1_000_000, 10_000),
                listen.microsFromMillis("transit_ms", 0, 60_000, 5),
                new IdempotencyStore.Bounds(
                        (int) ids.integer("entries", 1, 50_000_000, 200_000),
                        ids.integer("bytes", 1_024, 1L << 40, 256L << 20),
                        ids.integer("tolerance_s", 1, 86_400, 300)),
                endpoints(root, tenantNames, classNames),
                functions,
                unknownFunction(unknown),
                new InvokerConnections(
                        (int) links.integer("max_connections", 1, 100_000, 256),
                        links.microsFromMillis("idle_close_ms", 1, DAY, 15_000),
                        (int) links.integer("answer_bytes", 1, 1 << 30, 8 << 20),
                        links.integer("all_answer_bytes", 1_024, 1L << 40, 256L << 20)),
                roster(rosterTable, root, zones, kinds, moduleLimits.mayCheckHealth()),
                peers(root, count),
                root.subsection("stop").microsFromMillis("grace_ms", 0, DAY, 10_000),
                new FailureLimit(
                        (int) faults.integer("most", 0, 1_000_000, 10),
                        faults.microsFromMillis("within_ms", 1, DAY, 60_000)),
                overload(root.subsection("overload")),
                bounds,
                edge(root.subsection("edge")),
                kserve(root.subsection("kserve"), tenantNames, classNames, classByModel),
                outcomes(root.subsection("outcomes")),
                access(root.subsection("access_log")));
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
            s.addError(key, "at least one name is needed");
            return List.of("");
        }
        if (new HashSet<>(names).size() != names.size()) {
            s.addError(key, "a name is given twice");
        }
        return names;
    }

    private static void unique(Section s, String name, List<String> names) {
        if (names.contains(name)) {
            s.addError("name", "is given twice: \"" + name + "\"");
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
            c.addError(c.has("group") ? "group" : "window_ms", "only a keyed class has one");
        }
        long aim = c.microsFromMillis("aim_ms", 1, DAY);
        long deadline = c.microsFromMillis("deadline_ms", 1, DAY);
        if (aim > deadline) {
            c.addError("aim_ms", "must not be over deadline_ms");
        }
        DeduplicationScope group =
                keyed ? c.choice("group", DeduplicationScope.class) : DeduplicationScope.ALL;
        long window = keyed ? c.microsFromMillis("window_ms", 1, DAY) : 0;
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
                s.microsFromMillis("keep_alive_ms", 1, DAY),
                s.microsFromMillis("order_wait_ms", 1, DAY),
                s.number("idle_memory_price", 0, 1e6),
                s.number("free_orders", 0, 1e9),
                s.number("orders_per_call", 0, 1e6),
                s.microsFromMillis("order_period_ms", 0, DAY),
                List.copyOf(memory));
    }

    private static DeclaredFunction function(Section f) {
        return new DeclaredFunction(
                f.number("memory_mb", 0, 1e9, 0),
                (int) f.integer("lanes", 0, 100_000, 0),
                f.microsFromMillis("load_ms", 0, DAY, 0),
                f.microsFromMillis("work_ms", 0, DAY, 0));
    }

    private static DeclaredFunction unknownFunction(Section s) {
        DeclaredFunction told = function(s);
        return s.flag("accept", true) ? told : null;
    }

    private static HttpLimits http(Section h) {
        HttpLimits d = HttpLimits.DEFAULT;
        return new HttpLimits(
                (int) h.integer("start_line_bytes", 64, 1 << 20, d.startLineBytes()),
                (int) h.integer("headers", 1, 10_000, d.headerCount()),
                (int) h.integer("header_bytes", 256, 1 << 24, d.headerBytes()),
                (int) h.integer("body_bytes", 0, 1 << 30, d.bodyBytes()),
                h.microsFromMillis("head_ms", 1, DAY, d.headMicros() / 1e3),
                h.microsFromMillis("body_ms", 1, DAY, d.bodyMicros() / 1e3),
                h.microsFromMillis("idle_ms", 1, DAY, d.idleMicros() / 1e3),
                h.microsFromMillis("write_ms", 1, DAY, d.writeMicros() / 1e3));
    }

    private static List<WebhookEndpoint> endpoints(
            Section root, List<String> tenants, List<String> classes) {
        List<WebhookEndpoint> all = new ArrayList<>();
        Set<String> paths = new HashSet<>();
        for (Section e : root.subsections("endpoint")) {
            String path = e.text("path");
            if (!path.isEmpty() && !path.startsWith("/")) {
                e.addError("path", "must begin with /");
            }
            if (!paths.add(path)) {
                e.addError("path", "is given twice: \"" + path + "\"");
            }
            int tenant =
                    tenants.isEmpty() && !e.has("tenant")
                            ? -1
                            : e.indexIn("tenant", tenants, "tenant");
            int kind = e.indexIn("class", classes, "class");
            String pointer = e.text("function_pointer", "");
            String fixed = e.text("function", "");
            if (pointer.isEmpty() == fixed.isEmpty()) {
                e.addError(
                        "function_pointer",
                        "give either function_pointer, a JSON pointer, or function, a name");
            } else if (!pointer.isEmpty() && !pointer.startsWith("/")) {
                e.addError(
                        "function_pointer",
                        "must be a JSON pointer (RFC 6901), as in \"/data/function\"");
            }
            String file = e.text("secrets_file", "");
            List<String> secrets = file.isEmpty() ? e.texts("secrets") : List.of();
            if (!file.isEmpty() && e.has("secrets")) {
                e.addError("secrets_file", "give either secrets or secrets_file");
            } else if (!file.isEmpty()) {
                try {
                    secrets = SecretsFile.read(file);
                } catch (IOException wrong) {
                    e.addError("secrets_file", wrong.getMessage());
                }
            } else if (secrets.isEmpty()) {
                e.addError("secrets", "at least one is needed, or secrets_file");
            }
            for (String secret : secrets) {
                String wrong = SecretFormat.describeError(secret);
                if (wrong != null) {
                    e.addError("secrets", wrong);
                }
            }
            all.add(new WebhookEndpoint(path, tenant, kind, pointer, fixed, secrets, file));
        }
        if (all.isEmpty()) {
            root.addError("endpoint", "at least one [[endpoint]] is needed");
        }
        return all;
    }

    private static OverloadControl.Settings overload(Section s) {
        return new OverloadControl.Settings(
                s.flag("on", true),
                (int) s.integer("least_open", 1, 1_000_000, 32),
                s.number("retry_share", 0, 10, 0.2),
                s.number("retries_per_s", 0, 1e6, 10));
    }

    private static HealthTrackingClassifier.Settings outcomes(Section s) {
        return new HealthTrackingClassifier.Settings(
                s.number("attempts_per_call", 1, 100, 2),
                (int) s.integer("failed_tries", 1, 100, 2),
                s.number("eject_share", 0, 1, 0.3),
                (int) s.integer("breaker_calls", 1, 1_000_000, 5),
                s.microsFromMillis("breaker_pause_ms", 1, DAY, 250),
                s.microsFromMillis("breaker_most_ms", 1, DAY, 1_000),
                (int) s.integer("functions", 1, 10_000_000, 20_000));
    }

    private static FileAccessLog.Settings access(Section s) {
        String file = s.text("file", "");
        if (file.isEmpty() && (s.has("share") || s.has("queue"))) {
            s.addError("file", "is missing: without it there is no access log");
        }
        return new FileAccessLog.Settings(
                file, s.number("share", 0, 1, 1), (int) s.integer("queue", 16, 10_000_000, 8_192));
    }

    private static ConnectionLimits edge(Section s) {
        ConnectionLimits edge =
                new ConnectionLimits(
                        s.integer("body_bytes", 1_024, 1L << 40, 256L << 20),
                        (int) s.integer("connections_per_network", 1, 1_000_000, 5_000),
                        (int) s.integer("v4_prefix", 0, 32, 24),
                        (int) s.integer("v6_prefix", 0, 128, 64),
                        s.texts("trusted"),
                        s.texts("barred"));
        for (String key : List.of("trusted", "barred")) {
            for (String each :
                    key.equals("trusted") ? edge.trustedNetworks() : edge.barredNetworks()) {
                if (!NetworkSet.isValid(each)) {
                    s.addError(
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
        for (Section k : s.subsections("key")) {
            int tenant =
                    tenants.isEmpty() && !k.has("tenant")
                            ? -1
                            : k.indexIn("tenant", tenants, "tenant");
            String hash = k.text("sha256");
            if (!hash.isEmpty() && !hash.matches("[0-9a-f]{64}")) {
                k.addError(
                        "sha256",
                        "must be the SHA-256 of the bearer key, 64 hex figures in lower case");
            }
            if (keys.put(hash, tenant) != null) {
                k.addError("sha256", "is given twice");
            }
        }
        int kind = keys.isEmpty() && !s.has("class") ? 0 : s.indexIn("class", classes, "class");
        return new Kserve(
                kind, keys, byModel, (int) s.integer("json_bytes", 256, 1 << 30, 1 << 20));
    }

    private static Discovery roster(
            Section r,
            Section root,
            List<String> zones,
            List<String> kinds,
            boolean mayCheckHealth) {
        List<InvokerEndpoint> fixed = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (Section i : root.subsections("invoker")) {
            InetSocketAddress at = address(i, "address", null);
            String id = at == null ? "" : invokerId(at);
            if (!ids.add(id)) {
                i.addError("address", "is given twice: " + id);
            }
            fixed.add(
                    new InvokerEndpoint(
                            id,
                            i.indexIn("zone", zones, "zone"),
                            (int) i.integer("cell", 0, 1_000_000, 0),
                            i.indexIn("kind", kinds, "kind"),
                            EndpointState.READY,
                            i.number("weight", 0, 1e6, 1),
                            0));
        }
        InetSocketAddress at = r.has("address") ? address(r, "address", null) : null;
        String service = r.text("service", "invokers");
        if (at == null == fixed.isEmpty()) {
            r.addError(
                    at == null ? "" : "address",
                    "give either roster.address, a health API, or [[invoker]] entries");
        }
        return new Discovery(
                fixed,
                at,
                service,
                r.microsFromMillis("wait_ms", 1, 600_000, 10_000),
                r.microsFromMillis("retry_ms", 1, DAY, 200),
                r.microsFromMillis("retry_most_ms", 1, DAY, 5_000),
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
        return roster.microsFromMillis("valid_ms", 0, DAY, DEFAULT_LIST_VALID_MILLIS);
    }

    private static Gossip peers(Section root, int count) {
        Section p = root.subsection("peers");
        InetSocketAddress listen = p.has("listen") ? address(p, "listen", null) : null;
        Map<Integer, InetSocketAddress> others = new HashMap<>();
        for (Section o : p.subsections("peer")) {
            int number = (int) o.integer("number", 0, Math.max(0, count - 1));
            if (others.put(number, address(o, "address", null)) != null) {
                o.addError("number", "is given twice: " + number);
            }
        }
        if (listen == null && !others.isEmpty()) {
            p.addError("listen", "is missing: peers answer to it");
        }
        return new Gossip(listen, others);
    }

    /** An address and port in figures; names would need look-ups, which block. */
    private static InetSocketAddress address(Section s, String key, InetSocketAddress otherwise) {
        if (!s.has(key) && otherwise != null) {
            return otherwise;
        }
        String text = s.text(key);
        InetSocketAddress at = parseAddress(text);
        if (at == null && !text.isEmpty()) {
            s.addError(
                    key,
                    "must be address:port in figures, as 127.0.0.1:8080 or [::1]:8080, not \""
                            + text
                            + "\"");
        }
        return at;
    }

    /** Reads address:port in figures, without any look-up; null where it is not one. */
    public static InetSocketAddress parseAddress(String text) {
        return SocketAddresses.parse(text).orElse(null);
    }

    /** The id of an invoker: its address and port. */
    public static String invokerId(InetSocketAddress at) {
        return SocketAddresses.format(at);
    }
}
