package waytrestle.responses;

/** A capability that the settings declare for invokers and that responses can confirm or refute. */
public enum DeclaredCapability {
    /** Reports with each response whether the instance was loaded. */
    START(
            "start",
            "reports with each response whether the instance was loaded",
            "loading.tells_start"),
    /** Reports how many requests of the function were in flight at the invoker. */
    CONCURRENCY(
            "company",
            "reports how many requests of the function were in flight",
            "loading.tells_company"),
    /** Reports how many instances are loaded after a preload. */
    INSTANCES("copies", "reports how many instances are loaded after a preload", "loading.orders"),
    /** Reports its load with each response. */
    LOAD_REPORTS("reports", "reports its load with each response", "reports.how"),
    /**
     * Responds at once or loads the function while the request waits, as declared, if the function
     * is not loaded.
     */
    NOT_LOADED_RESPONSES(
            "miss_answers",
            "responds 404 if the function is not loaded, or loads it while the request waits, as"
                    + " declared",
            "loading.miss_answers"),
    /** Keeps an idle instance for the declared time. */
    KEEP_ALIVE(
            "keep_alive", "keeps an idle instance for the declared time", "loading.keep_alive_ms"),
    /** Loads the function in about the declared time. */
    LOAD_TIME("load_time", "loads the function in about the declared time", "function.load_ms"),
    /** Runs the function in about the declared time. */
    WORK_TIME("work_time", "runs the function in about the declared time", "function.work_ms");

    private final String label;
    private final String description;
    private final String setting;

    DeclaredCapability(String label, String description, String setting) {
        this.label = label;
        this.description = description;
        this.setting = setting;
    }

    /** Returns the declared behavior as text for operators. */
    public String description() {
        return description;
    }

    /** Returns the key of the setting that declares the capability. */
    public String setting() {
        return setting;
    }

    /** Returns the label of the capability in metrics. */
    public String label() {
        return label;
    }
}
