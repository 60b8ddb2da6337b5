package waytrestle.scheduler;

/** Where load reports of invokers come from. */
public enum LoadReportSource {
    /** With each response. */
    RESPONSES,
    /** With responses to health checks. */
    HEALTH_CHECKS,
    /** From nowhere. */
    NONE
}
