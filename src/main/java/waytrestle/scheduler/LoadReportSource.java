package waytrestle.scheduler;

/** Which messages of invokers carry load reports. */
public enum LoadReportSource {
    /** Every response to an attempt. */
    RESPONSES,
    /** Responses to health checks. */
    HEALTH_CHECKS,
    /** None: invokers send no load reports. */
    NONE
}
