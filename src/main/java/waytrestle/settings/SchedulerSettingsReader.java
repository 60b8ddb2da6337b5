package waytrestle.settings;

import java.util.ArrayList;
import java.util.List;
import waytrestle.json.JsonObject;
import waytrestle.json.MalformedJsonException;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.DiscoveryMode;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.LoadReportSource;
import waytrestle.scheduler.SchedulerSettings;

/**
 * Translates the JSON settings object that the bench and the platform send into {@link
 * SchedulerSettings}. Unknown members are ignored, and a missing member is read as the empty value
 * of its type: 0, false, an empty text, an empty list or an empty object. Stateless.
 */
public final class SchedulerSettingsReader {
    private SchedulerSettingsReader() {}

    /**
     * Returns the settings of one scheduler.
     *
     * @throws MalformedJsonException if a member has the wrong type
     */
    public static SchedulerSettings read(JsonObject settings) {
        List<SchedulerSettings.RequestClass> classes = requestClasses(settings);
        List<SchedulerSettings.Tenant> tenants = tenants(settings);
        LoadReportSource loadReports = loadReports(settings.object("report"));
        return new SchedulerSettings(
                settings.wholeInt("me"),
                settings.wholeInt("balancers"),
                settings.wholeInt("zone"),
                settings.wholeNumber("tick_us"),
                discovery(settings),
                loadReports,
                settings.text("weight_kind"),
                settings.number("over_share_worth"),
                classes,
                tenants,
                limits(settings.object("limits")),
                rules(settings.object("rules")),
                preloading(settings.object("domain")),
                costs(settings.object("prices")));
    }

    private static DiscoveryMode discovery(JsonObject settings) {
        boolean mustSubscribe = settings.text("discovery").equals("subscribe");
        return mustSubscribe ? DiscoveryMode.POLL : DiscoveryMode.PUSH;
    }

    private static LoadReportSource loadReports(JsonObject report) {
        return switch (report.text("how")) {
            case "answers" -> LoadReportSource.RESPONSES;
            case "probe" -> LoadReportSource.HEALTH_CHECKS;
            default -> LoadReportSource.NONE;
        };
    }

    private static List<SchedulerSettings.RequestClass> requestClasses(JsonObject settings) {
        List<SchedulerSettings.RequestClass> classes = new ArrayList<>();
        for (JsonObject requestClass : settings.objects("lanes")) {
            classes.add(requestClass(requestClass));
        }
        return classes;
    }

    private static SchedulerSettings.RequestClass requestClass(JsonObject requestClass) {
        Idempotency idempotency = idempotency(requestClass);
        DeduplicationScope scope = deduplicationScope(requestClass);
        return new SchedulerSettings.RequestClass(
                requestClass.text("name"),
                idempotency,
                scope,
                requestClass.wholeNumber("window_us"),
                requestClass.wholeNumber("aim_us"),
                requestClass.number("aim_stretch"),
                requestClass.wholeNumber("deadline_us"),
                requestClass.number("value"),
                requestClass.number("late_worth"),
                requestClass.flag("streamed"));
    }

    private static Idempotency idempotency(JsonObject requestClass) {
        return switch (requestClass.text("idempotency")) {
            case "read_like" -> Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Idempotency.KEYED;
            default -> Idempotency.NON_IDEMPOTENT;
        };
    }

    private static DeduplicationScope deduplicationScope(JsonObject requestClass) {
        return switch (requestClass.text("group")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            default -> DeduplicationScope.CELL;
        };
    }

    private static List<SchedulerSettings.Tenant> tenants(JsonObject settings) {
        List<SchedulerSettings.Tenant> tenants = new ArrayList<>();
        for (JsonObject tenant : settings.objects("tenants")) {
            tenants.add(
                    new SchedulerSettings.Tenant(
                            tenant.text("name"),
                            tenant.number("share"),
                            tenant.number("quota_rps")));
        }
        return tenants;
    }

    private static SchedulerSettings.Limits limits(JsonObject limits) {
        return new SchedulerSettings.Limits(
                limits.wholeInt("max_attempts"),
                limits.wholeInt("max_open"),
                limits.flag("cancel"),
                limits.flag("may_probe"),
                limits.flag("peer_messages"),
                limits.flag("second_copies"),
                limits.flag("retry_after"),
                limits.wholeNumber("max_retry_after_us"),
                limits.wholeNumber("connect_timeout_us"));
    }

    private static SchedulerSettings.Rules rules(JsonObject rules) {
        return new SchedulerSettings.Rules(
                rules.wholeNumber("answer_slack_us"),
                rules.wholeNumber("drain_grace_us"),
                rules.number("cold_from"),
                rules.wholeNumber("warm_after_us"),
                rules.number("fall_multiple"),
                rules.wholeNumber("overload_for_us"),
                rules.wholeNumber("ask_every_us"));
    }

    private static SchedulerSettings.Preloading preloading(JsonObject domain) {
        List<Double> memoryByKind = domain.numbers("memory_mb_by_kind");
        return new SchedulerSettings.Preloading(
                domain.text("not_loaded").equals("miss"),
                domain.flag("placement_calls"),
                domain.flag("says_warm"),
                domain.flag("says_company"),
                domain.wholeNumber("keep_alive_us"),
                domain.wholeNumber("load_wait_us"),
                domain.number("idle_memory_cost"),
                domain.number("free_loads"),
                domain.number("load_ratio"),
                domain.wholeNumber("load_period_us"),
                memoryByKind);
    }

    private static SchedulerSettings.Costs costs(JsonObject prices) {
        return new SchedulerSettings.Costs(
                prices.number("cross_zone"),
                prices.number("waste"),
                prices.number("probe"),
                prices.number("late_fail"),
                prices.number("origin"),
                prices.number("peer"),
                prices.number("connection"),
                prices.number("handshake"),
                prices.number("discovery"));
    }
}
