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
 * The checked configuration of a gateway process. Times are in microseconds, while the file gives
 * them in milliseconds or seconds; {@code deploy/gateway.example.toml} explains each setting.
 * Immutable.
 *
 * @param schedulerSettings settings of the controller and its scheduler
 * @param seed seed of all random choices of the controller
 * @param zones names of the zones, by index
 * @param invokerKinds names of the kinds of invoker, by index
 * @param listenAddress where clients connect
 * @param adminAddress where the metrics and health pages are served
 * @param httpLimits limits of each client connection
 * @param maxConnections limit of all client connections
 * @param transitMicros time subtracted from each client's time limit for the way of the request to
 *     the gateway
 * @param functions functions that the file declares, by name
 * @param unknownFunction what applies to functions that the file does not declare; null if their
 *     requests are rejected
 * @param shutdownGraceMicros time that requests in flight have to end in a shutdown
 * @param tenantLimits limits of the tenants, in the order of the tenants in {@code
 *     schedulerSettings}
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
     * A path that takes signed webhook requests.
     *
     * @param tenant index of the tenant; -1 if the file defines no tenants
     * @param requestClass index of the request class
     * @param functionPointer JSON pointer (RFC 6901) to the function's name in the request body;
     *     empty if {@code fixedFunction} is given
     * @param fixedFunction name of the function of all requests; empty if {@code functionPointer}
     *     is given
     * @param secrets accepted secrets, with their prefixes
     * @param secretsFile file that the secrets are read from; empty if the configuration file
     *     contains them
     */
    public record WebhookEndpoint(
            String path,
            int tenant,
            int requestClass,
            String functionPointer,
            String fixedFunction,
            List<String> secrets,
            String secretsFile) {}

    /**
     * What the gateway declares of a function to the scheduler; 0 for a value that is not declared.
     *
     * @param memoryMb memory of one function instance, in megabytes
     * @param concurrencyPerInstance requests that one function instance runs at a time
     * @param loadMicros usual time to load a function instance
     * @param workMicros usual time that the function takes to serve a request
     */
    public record DeclaredFunction(
            double memoryMb, int concurrencyPerInstance, long loadMicros, long workMicros) {}

    /**
     * Limits of the connections to invokers.
     *
     * @param maxConnections limit of the connections to one invoker
     * @param idleCloseMicros time after which an idle connection is closed
     * @param maxResponseBytes largest response; a larger one counts as malformed
     * @param maxTotalResponseBytes limit of all responses that are being received from any invoker
     */
    public record InvokerConnections(
            int maxConnections,
            long idleCloseMicros,
            int maxResponseBytes,
            long maxTotalResponseBytes) {}

    /**
     * Where the endpoint list comes from: either fixed entries or a health API.
     *
     * @param fixedEndpoints the fixed entries; empty with a health API
     * @param healthApiAddress address of a Consul-compatible health API; null with fixed entries
     * @param service name of the service under which invokers are registered with the health API
     * @param queryWaitMicros how long the health API may hold back the response to a blocking query
     * @param minRetryPauseMicros pause after a first failed query; doubles with each further
     *     failure
     * @param maxRetryPauseMicros longest pause after a failed query
     * @param validAfterFailureMicros how long the list may be acted on without health checks after
     *     a query that failed; {@link PollFreshness#UNLIMITED} for ever
     */
    public record Discovery(
            List<InvokerEndpoint> fixedEndpoints,
            InetSocketAddress healthApiAddress,
            String service,
            long queryWaitMicros,
            long minRetryPauseMicros,
            long maxRetryPauseMicros,
            long validAfterFailureMicros) {}

    /**
     * Addresses for the gossip between controllers.
     *
     * @param listenAddress where this controller receives gossip; null if it takes no part
     * @param peerAddresses addresses of the other controllers, by controller index
     */
    public record Gossip(
            InetSocketAddress listenAddress, Map<Integer, InetSocketAddress> peerAddresses) {}

    /**
     * Limits of what client connections may occupy together.
     *
     * @param maxTotalBodyBytes limit of the bytes of all request and response bodies
     * @param maxPerNetwork limit of the connections from one source network
     * @param ipv4PrefixBits prefix length of the networks by which IPv4 sources are counted
     * @param ipv6PrefixBits prefix length of the networks by which IPv6 sources are counted
     * @param trustedNetworks networks exempt from {@code maxPerNetwork}, in CIDR notation
     * @param barredNetworks networks whose connections are never admitted, in CIDR notation
     */
    public record ConnectionLimits(
            long maxTotalBodyBytes,
            int maxPerNetwork,
            int ipv4PrefixBits,
            int ipv6PrefixBits,
            List<String> trustedNetworks,
            List<String> barredNetworks) {}

    /**
     * Settings of the KServe front end.
     *
     * @param requestClass index of the request class of models that {@code classByModel} lacks
     * @param tenantByKeyHash index of the tenant, -1 if the file defines no tenants, by the SHA-256
     *     of the bearer key in lower-case hex; the front end is not started if it is empty
     * @param classByModel index of the request class, by name of the model
     * @param maxJsonBytes limit of the JSON part of a request
     */
    public record Kserve(
            int requestClass,
            Map<String, Integer> tenantByKeyHash,
            Map<String, Integer> classByModel,
            int maxJsonBytes) {}

    /**
     * When failed decisions of the scheduler end the process.
     *
     * @param maxFailures failed decisions that are tolerated within the window
     * @param windowMicros length of the window
     */
    public record FailureLimit(int maxFailures, long windowMicros) {}

    /**
     * How long an endpoint list is acted on after a failed query. A leader election among the
     * servers of the health API takes less, and invokers rarely drain for a shorter time.
     */
    private static final double DEFAULT_LIST_VALID_MILLIS = 2_000;

    /** Largest time that a configuration may give, in milliseconds. */
    private static final double DAY_MILLIS = 86_400_000;

    /**
     * Reads a configuration file.
     *
     * @throws ConfigException if the file cannot be read or has errors
     */
    public static GatewayConfig read(Path file) throws ConfigException {
        return TomlFile.read(file, GatewayConfig::from);
    }

    /**
     * Reads a configuration from the top-level table of a file. Errors are added to the section; if
     * there are any, the returned configuration must not be used.
     */
    public static GatewayConfig from(Section root) {
        Section controller = root.subsection("controller");
        List<String> zones = readUniqueNames(controller, "zones");
        List<Section> kindSections = root.subsections("kind");
        List<String> invokerKinds = new ArrayList<>();
        List<Double> memoryMbByKind = new ArrayList<>();
        for (Section kind : kindSections) {
            addUniqueName(kind, kind.text("name"), invokerKinds);
            memoryMbByKind.add(kind.number("memory_mb", 0, 1e9));
        }
        if (invokerKinds.isEmpty()) {
            root.addError("kind", "at least one [[kind]] of invoker is needed");
        }
        List<RequestClass> classes = new ArrayList<>();
        List<String> classNames = new ArrayList<>();
        for (Section requestClass : root.subsections("class")) {
            classes.add(readRequestClass(requestClass, classNames));
        }
        if (classes.isEmpty()) {
            root.addError("class", "at least one [[class]] of requests is needed");
        }
        List<Tenant> tenants = new ArrayList<>();
        List<String> tenantNames = new ArrayList<>();
        List<TenantQuotas.TenantLimits> tenantLimits = new ArrayList<>();
        for (Section tenant : root.subsections("tenant")) {
            addUniqueName(tenant, tenant.text("name"), tenantNames);
            tenants.add(
                    new Tenant(
                            tenantNames.get(tenantNames.size() - 1),
                            tenant.number("share", 0, 1),
                            tenant.number("quota_per_s", 0, 1e9)));
            tenantLimits.add(
                    new TenantQuotas.TenantLimits(
                            tenant.number("max_per_s", 0, 1e9, 0),
                            (int) tenant.integer("max_open", 0, 1_000_000, 0)));
        }
        Section limits = root.subsection("limits");
        Limits schedulerLimits =
                new Limits(
                        (int) limits.integer("max_attempts", 1, 100),
                        (int) limits.integer("max_open", 1, 1_000_000),
                        limits.flag("cancel"),
                        limits.flag("probes"),
                        limits.flag("peers"),
                        limits.flag("overlap"),
                        limits.flag("retry_after"),
                        limits.microsFromMillis("max_retry_after_ms", 0, DAY_MILLIS),
                        limits.microsFromMillis("connect_timeout_ms", 1, 60_000));
        Section rules = root.subsection("rules");
        Rules schedulerRules =
                new Rules(
                        rules.microsFromMillis("answer_slack_ms", 0, 60_000),
                        rules.microsFromMillis("drain_grace_ms", 0, DAY_MILLIS),
                        rules.number("cold_share", 0, 1),
                        rules.microsFromMillis("warm_after_ms", 0, DAY_MILLIS),
                        rules.number("fall_multiple", 0, 1e6),
                        rules.microsFromMillis("overload_ms", 1, DAY_MILLIS),
                        rules.microsFromMillis("ask_every_ms", 1, DAY_MILLIS));
        if (schedulerLimits.connectTimeoutMicros() >= schedulerRules.drainGraceMicros()) {
            limits.addError(
                    "connect_timeout_ms",
                    "must be below rules.drain_grace_ms: a connection attempt that begins before an"
                            + " invoker drains must not send a request after the grace");
        }
        Preloading preloading = readPreloading(root.subsection("loading"), memoryMbByKind);
        Section prices = root.subsection("prices");
        Costs costs =
                new Costs(
                        readCost(prices, "cross_zone"),
                        readCost(prices, "waste"),
                        readCost(prices, "probe"),
                        readCost(prices, "late_fail"),
                        readCost(prices, "fetch"),
                        readCost(prices, "peer"),
                        readCost(prices, "connection"),
                        readCost(prices, "handshake"),
                        readCost(prices, "list_lines"));
        Section roster = root.subsection("roster");
        DiscoveryMode discoveryMode =
                roster.choice("discovery", DiscoveryMode.class, GatewayConfig::settingsWord);
        Section reports = root.subsection("reports");
        int controllerCount = (int) controller.integer("count", 1, 100_000);
        SchedulerSettings schedulerSettings =
                new SchedulerSettings(
                        (int) controller.integer("number", 0, 99_999),
                        controllerCount,
                        controller.indexIn("zone", zones, "zone"),
                        controller.microsFromMillis("tick_ms", 0.1, 1_000),
                        discoveryMode,
                        reports.choice("how", LoadReportSource.class, GatewayConfig::settingsWord),
                        controller.text("weight_kind"),
                        controller.number("over_share_worth", 0, 1),
                        List.copyOf(classes),
                        List.copyOf(tenants),
                        schedulerLimits,
                        schedulerRules,
                        preloading,
                        costs);
        if (schedulerSettings.controllerIndex() >= controllerCount) {
            controller.addError(
                    "number", "must be below controller.count, which is " + controllerCount);
        }
        Section ids = root.subsection("ids");
        Section unknown = root.subsection("unknown_function");
        Map<String, DeclaredFunction> functions = new HashMap<>();
        Map<String, Integer> classByModel = new HashMap<>();
        for (Section function : root.subsections("function")) {
            String name = function.text("name");
            if (functions.put(name, readFunction(function)) != null) {
                function.addError("name", "is given twice: \"" + name + "\"");
            }
            if (function.has("class")) {
                classByModel.put(name, function.indexIn("class", classNames, "class"));
            }
        }
        Section invokers = root.subsection("invokers");
        Section faults = root.subsection("faults");
        Section listen = root.subsection("listen");
        return new GatewayConfig(
                schedulerSettings,
                controller.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE),
                zones,
                invokerKinds,
                readAddress(listen, "address", null),
                readAddress(listen, "admin", null),
                readHttpLimits(root.subsection("http")),
                (int) listen.integer("max_connections", 1, 1_000_000, 10_000),
                listen.microsFromMillis("transit_ms", 0, 60_000, 5),
                new IdempotencyStore.Bounds(
                        (int) ids.integer("entries", 1, 50_000_000, 200_000),
                        ids.integer("bytes", 1_024, 1L << 40, 256L << 20),
                        ids.integer("tolerance_s", 1, 86_400, 300)),
                readWebhookEndpoints(root, tenantNames, classNames),
                functions,
                readUnknownFunction(unknown),
                new InvokerConnections(
                        (int) invokers.integer("max_connections", 1, 100_000, 256),
                        invokers.microsFromMillis("idle_close_ms", 1, DAY_MILLIS, 15_000),
                        (int) invokers.integer("answer_bytes", 1, 1 << 30, 8 << 20),
                        invokers.integer("all_answer_bytes", 1_024, 1L << 40, 256L << 20)),
                readDiscovery(roster, root, zones, invokerKinds, schedulerLimits.mayCheckHealth()),
                readGossip(root, controllerCount),
                root.subsection("stop").microsFromMillis("grace_ms", 0, DAY_MILLIS, 10_000),
                new FailureLimit(
                        (int) faults.integer("most", 0, 1_000_000, 10),
                        faults.microsFromMillis("within_ms", 1, DAY_MILLIS, 60_000)),
                readOverload(root.subsection("overload")),
                tenantLimits,
                readConnectionLimits(root.subsection("edge")),
                readKserve(root.subsection("kserve"), tenantNames, classNames, classByModel),
                readClassifier(root.subsection("outcomes")),
                readAccessLog(root.subsection("access_log")));
    }

    private static String settingsWord(DiscoveryMode mode) {
        return switch (mode) {
            case PUSH -> "pushed";
            case POLL -> "asked";
        };
    }

    private static String settingsWord(LoadReportSource source) {
        return switch (source) {
            case RESPONSES -> "answers";
            case HEALTH_CHECKS -> "probes";
            case NONE -> "none";
        };
    }

    private static String settingsWord(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "safe";
            case KEYED -> "keyed";
            case NON_IDEMPOTENT -> "unsafe";
        };
    }

    private static List<String> readUniqueNames(Section section, String key) {
        List<String> names = section.texts(key);
        if (names.isEmpty()) {
            section.addError(key, "at least one name is needed");
            return List.of("");
        }
        if (new HashSet<>(names).size() != names.size()) {
            section.addError(key, "a name is given twice");
        }
        return names;
    }

    /** Adds a name to a list, with an error if the list contains it already. */
    private static void addUniqueName(Section section, String name, List<String> names) {
        if (names.contains(name)) {
            section.addError("name", "is given twice: \"" + name + "\"");
        }
        names.add(name);
    }

    private static double readCost(Section prices, String key) {
        return prices.number(key, 0, 1e6);
    }

    /** Reads a request class and adds its name to the names. */
    private static RequestClass readRequestClass(Section section, List<String> names) {
        addUniqueName(section, section.text("name"), names);
        Idempotency idempotency =
                section.choice("repeat", Idempotency.class, GatewayConfig::settingsWord);
        boolean keyed = idempotency == Idempotency.KEYED;
        if (!keyed && (section.has("group") || section.has("window_ms"))) {
            section.addError(
                    section.has("group") ? "group" : "window_ms",
                    "is allowed only in a class with repeat = \"keyed\"");
        }
        long objectiveMicros = section.microsFromMillis("aim_ms", 1, DAY_MILLIS);
        long deadlineMicros = section.microsFromMillis("deadline_ms", 1, DAY_MILLIS);
        if (objectiveMicros > deadlineMicros) {
            section.addError("aim_ms", "must not exceed deadline_ms");
        }
        DeduplicationScope deduplicationScope =
                keyed ? section.choice("group", DeduplicationScope.class) : DeduplicationScope.ALL;
        long deduplicationWindowMicros =
                keyed ? section.microsFromMillis("window_ms", 1, DAY_MILLIS) : 0;
        return new RequestClass(
                names.get(names.size() - 1),
                idempotency,
                deduplicationScope,
                deduplicationWindowMicros,
                objectiveMicros,
                section.number("aim_stretch", 0, 1e6),
                deadlineMicros,
                section.number("worth", 0, 1e9),
                section.number("late_worth", 0, 1),
                false);
    }

    private static Preloading readPreloading(Section loading, List<Double> memoryMbByKind) {
        return new Preloading(
                loading.flag("miss_answers"),
                loading.flag("orders"),
                loading.flag("tells_start"),
                loading.flag("tells_company"),
                loading.microsFromMillis("keep_alive_ms", 1, DAY_MILLIS),
                loading.microsFromMillis("order_wait_ms", 1, DAY_MILLIS),
                loading.number("idle_memory_price", 0, 1e6),
                loading.number("free_orders", 0, 1e9),
                loading.number("orders_per_call", 0, 1e6),
                loading.microsFromMillis("order_period_ms", 0, DAY_MILLIS),
                List.copyOf(memoryMbByKind));
    }

    private static DeclaredFunction readFunction(Section function) {
        return new DeclaredFunction(
                function.number("memory_mb", 0, 1e9, 0),
                (int) function.integer("lanes", 0, 100_000, 0),
                function.microsFromMillis("load_ms", 0, DAY_MILLIS, 0),
                function.microsFromMillis("work_ms", 0, DAY_MILLIS, 0));
    }

    private static DeclaredFunction readUnknownFunction(Section section) {
        DeclaredFunction declared = readFunction(section);
        return section.flag("accept", true) ? declared : null;
    }

    private static HttpLimits readHttpLimits(Section http) {
        HttpLimits defaults = HttpLimits.DEFAULT;
        return new HttpLimits(
                (int) http.integer("start_line_bytes", 64, 1 << 20, defaults.startLineBytes()),
                (int) http.integer("headers", 1, 10_000, defaults.headerCount()),
                (int) http.integer("header_bytes", 256, 1 << 24, defaults.headerBytes()),
                (int) http.integer("body_bytes", 0, 1 << 30, defaults.bodyBytes()),
                http.microsFromMillis("head_ms", 1, DAY_MILLIS, defaults.headMicros() / 1e3),
                http.microsFromMillis("body_ms", 1, DAY_MILLIS, defaults.bodyMicros() / 1e3),
                http.microsFromMillis("idle_ms", 1, DAY_MILLIS, defaults.idleMicros() / 1e3),
                http.microsFromMillis("write_ms", 1, DAY_MILLIS, defaults.writeMicros() / 1e3));
    }

    private static List<WebhookEndpoint> readWebhookEndpoints(
            Section root, List<String> tenants, List<String> classes) {
        List<WebhookEndpoint> endpoints = new ArrayList<>();
        Set<String> paths = new HashSet<>();
        for (Section endpoint : root.subsections("endpoint")) {
            String path = endpoint.text("path");
            if (!path.isEmpty() && !path.startsWith("/")) {
                endpoint.addError("path", "must begin with /");
            }
            if (!paths.add(path)) {
                endpoint.addError("path", "is given twice: \"" + path + "\"");
            }
            int tenant =
                    tenants.isEmpty() && !endpoint.has("tenant")
                            ? -1
                            : endpoint.indexIn("tenant", tenants, "tenant");
            int requestClass = endpoint.indexIn("class", classes, "class");
            String functionPointer = endpoint.text("function_pointer", "");
            String fixedFunction = endpoint.text("function", "");
            if (functionPointer.isEmpty() == fixedFunction.isEmpty()) {
                endpoint.addError(
                        "function_pointer",
                        "give either function_pointer, a JSON pointer, or function, a name");
            } else if (!functionPointer.isEmpty() && !functionPointer.startsWith("/")) {
                endpoint.addError(
                        "function_pointer",
                        "must be a JSON pointer (RFC 6901), as in \"/data/function\"");
            }
            String secretsFile = endpoint.text("secrets_file", "");
            List<String> secrets = secretsFile.isEmpty() ? endpoint.texts("secrets") : List.of();
            if (!secretsFile.isEmpty() && endpoint.has("secrets")) {
                endpoint.addError("secrets_file", "give either secrets or secrets_file");
            } else if (!secretsFile.isEmpty()) {
                try {
                    secrets = SecretsFile.read(secretsFile);
                } catch (IOException exception) {
                    endpoint.addError("secrets_file", exception.getMessage());
                }
            } else if (secrets.isEmpty()) {
                endpoint.addError("secrets", "at least one is needed, or secrets_file");
            }
            for (String secret : secrets) {
                String error = SecretFormat.describeError(secret);
                if (error != null) {
                    endpoint.addError("secrets", error);
                }
            }
            endpoints.add(
                    new WebhookEndpoint(
                            path,
                            tenant,
                            requestClass,
                            functionPointer,
                            fixedFunction,
                            secrets,
                            secretsFile));
        }
        if (endpoints.isEmpty()) {
            root.addError("endpoint", "at least one [[endpoint]] is needed");
        }
        return endpoints;
    }

    private static OverloadControl.Settings readOverload(Section overload) {
        return new OverloadControl.Settings(
                overload.flag("on", true),
                (int) overload.integer("least_open", 1, 1_000_000, 32),
                overload.number("retry_share", 0, 10, 0.2),
                overload.number("retries_per_s", 0, 1e6, 10));
    }

    private static HealthTrackingClassifier.Settings readClassifier(Section outcomes) {
        return new HealthTrackingClassifier.Settings(
                outcomes.number("attempts_per_call", 1, 100, 2),
                (int) outcomes.integer("failed_tries", 1, 100, 2),
                outcomes.number("eject_share", 0, 1, 0.3),
                (int) outcomes.integer("breaker_calls", 1, 1_000_000, 5),
                outcomes.microsFromMillis("breaker_pause_ms", 1, DAY_MILLIS, 250),
                outcomes.microsFromMillis("breaker_most_ms", 1, DAY_MILLIS, 1_000),
                (int) outcomes.integer("functions", 1, 10_000_000, 20_000));
    }

    private static FileAccessLog.Settings readAccessLog(Section accessLog) {
        String file = accessLog.text("file", "");
        if (file.isEmpty() && (accessLog.has("share") || accessLog.has("queue"))) {
            accessLog.addError("file", "is missing: without it there is no access log");
        }
        return new FileAccessLog.Settings(
                file,
                accessLog.number("share", 0, 1, 1),
                (int) accessLog.integer("queue", 16, 10_000_000, 8_192));
    }

    private static ConnectionLimits readConnectionLimits(Section edge) {
        ConnectionLimits limits =
                new ConnectionLimits(
                        edge.integer("body_bytes", 1_024, 1L << 40, 256L << 20),
                        (int) edge.integer("connections_per_network", 1, 1_000_000, 5_000),
                        (int) edge.integer("v4_prefix", 0, 32, 24),
                        (int) edge.integer("v6_prefix", 0, 128, 64),
                        edge.texts("trusted"),
                        edge.texts("barred"));
        for (String key : List.of("trusted", "barred")) {
            for (String network :
                    key.equals("trusted") ? limits.trustedNetworks() : limits.barredNetworks()) {
                if (!NetworkSet.isValid(network)) {
                    edge.addError(
                            key,
                            "must hold networks as 10.0.0.0/8 or 2001:db8::/32, not \""
                                    + network
                                    + "\"");
                }
            }
        }
        return limits;
    }

    private static Kserve readKserve(
            Section kserve,
            List<String> tenants,
            List<String> classes,
            Map<String, Integer> classByModel) {
        Map<String, Integer> tenantByKeyHash = new HashMap<>();
        for (Section key : kserve.subsections("key")) {
            int tenant =
                    tenants.isEmpty() && !key.has("tenant")
                            ? -1
                            : key.indexIn("tenant", tenants, "tenant");
            String keyHash = key.text("sha256");
            if (!keyHash.isEmpty() && !keyHash.matches("[0-9a-f]{64}")) {
                key.addError(
                        "sha256",
                        "must be the SHA-256 of the bearer key, 64 hex digits in lower case");
            }
            if (tenantByKeyHash.put(keyHash, tenant) != null) {
                key.addError("sha256", "is given twice");
            }
        }
        int requestClass =
                tenantByKeyHash.isEmpty() && !kserve.has("class")
                        ? 0
                        : kserve.indexIn("class", classes, "class");
        return new Kserve(
                requestClass,
                tenantByKeyHash,
                classByModel,
                (int) kserve.integer("json_bytes", 256, 1 << 30, 1 << 20));
    }

    private static Discovery readDiscovery(
            Section roster,
            Section root,
            List<String> zones,
            List<String> invokerKinds,
            boolean mayCheckHealth) {
        List<InvokerEndpoint> fixedEndpoints = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (Section invoker : root.subsections("invoker")) {
            InetSocketAddress address = readAddress(invoker, "address", null);
            String id = address == null ? "" : invokerId(address);
            if (!ids.add(id)) {
                invoker.addError("address", "is given twice: " + id);
            }
            fixedEndpoints.add(
                    new InvokerEndpoint(
                            id,
                            invoker.indexIn("zone", zones, "zone"),
                            (int) invoker.integer("cell", 0, 1_000_000, 0),
                            invoker.indexIn("kind", invokerKinds, "kind"),
                            EndpointState.READY,
                            invoker.number("weight", 0, 1e6, 1),
                            0));
        }
        InetSocketAddress healthApiAddress =
                roster.has("address") ? readAddress(roster, "address", null) : null;
        String service = roster.text("service", "invokers");
        if (healthApiAddress == null == fixedEndpoints.isEmpty()) {
            roster.addError(
                    healthApiAddress == null ? "" : "address",
                    "give either roster.address, a health API, or [[invoker]] entries");
        }
        return new Discovery(
                fixedEndpoints,
                healthApiAddress,
                service,
                roster.microsFromMillis("wait_ms", 1, 600_000, 10_000),
                roster.microsFromMillis("retry_ms", 1, DAY_MILLIS, 200),
                roster.microsFromMillis("retry_most_ms", 1, DAY_MILLIS, 5_000),
                readValidAfterFailureMicros(roster, mayCheckHealth));
    }

    /**
     * Reads how long the endpoint list may be acted on after a failed query. The default without
     * health checks is for ever, since no other source tells whether an invoker is up.
     */
    private static long readValidAfterFailureMicros(Section roster, boolean mayCheckHealth) {
        if (!roster.has("valid_ms") && !mayCheckHealth) {
            return PollFreshness.UNLIMITED;
        }
        return roster.microsFromMillis("valid_ms", 0, DAY_MILLIS, DEFAULT_LIST_VALID_MILLIS);
    }

    private static Gossip readGossip(Section root, int controllerCount) {
        Section peers = root.subsection("peers");
        InetSocketAddress listenAddress =
                peers.has("listen") ? readAddress(peers, "listen", null) : null;
        Map<Integer, InetSocketAddress> peerAddresses = new HashMap<>();
        for (Section peer : peers.subsections("peer")) {
            int controllerIndex = (int) peer.integer("number", 0, Math.max(0, controllerCount - 1));
            if (peerAddresses.put(controllerIndex, readAddress(peer, "address", null)) != null) {
                peer.addError("number", "is given twice: " + controllerIndex);
            }
        }
        if (listenAddress == null && !peerAddresses.isEmpty()) {
            peers.addError("listen", "is missing: peers send to it");
        }
        return new Gossip(listenAddress, peerAddresses);
    }

    /**
     * Reads a numeric address with a port; null with an error if it is none. Host names are not
     * allowed: resolving them would block.
     */
    private static InetSocketAddress readAddress(
            Section section, String key, InetSocketAddress defaultAddress) {
        if (!section.has(key) && defaultAddress != null) {
            return defaultAddress;
        }
        String text = section.text(key);
        InetSocketAddress address = parseAddress(text);
        if (address == null && !text.isEmpty()) {
            section.addError(
                    key,
                    "must be a numeric address:port, as 127.0.0.1:8080 or [::1]:8080, not \""
                            + text
                            + "\"");
        }
        return address;
    }

    /** Parses a numeric address with a port; null for any other text, also for a host name. */
    public static InetSocketAddress parseAddress(String text) {
        return SocketAddresses.parse(text).orElse(null);
    }

    /** Returns the id of the invoker at an address: the address and port as text. */
    public static String invokerId(InetSocketAddress address) {
        return SocketAddresses.format(address);
    }
}
