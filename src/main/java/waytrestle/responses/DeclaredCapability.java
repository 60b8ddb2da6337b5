package waytrestle.responses;

/** What settings declare that invokers report or do, as far as responses can show it. */
public enum DeclaredCapability {
    /** Reports whether the instance stood loaded. */
    START("start", "says of each answer whether the copy stood loaded", "loading.tells_start"),
    /** Reports how many requests of the function were there. */
    CONCURRENCY(
            "company", "says how many calls of the function were there", "loading.tells_company"),
    /** Reports how many instances are loaded after a preload. */
    INSTANCES("copies", "says how many copies stand after a load order", "loading.orders"),
    /** Reports its load with each response. */
    LOAD_REPORTS("reports", "reports its load with each answer", "reports.how"),
    /** Responds at once, or loads while the request waits, where the function is not loaded. */
    NOT_LOADED_RESPONSES(
            "miss_answers",
            "answers 404 for what it lacks, or loads it while the call waits, as stated",
            "loading.miss_answers"),
    /** Keeps an idle instance for the declared time. */
    KEEP_ALIVE("keep_alive", "keeps an idle copy for the stated time", "loading.keep_alive_ms"),
    /** Loads the function in about the declared time. */
    LOAD_TIME("load_time", "loads the function in about the stated time", "function.load_ms"),
    /** Runs the function in about the declared time. */
    WORK_TIME("work_time", "runs the function in about the stated time", "function.work_ms");

    private final String label;
    private final String description;
    private final String setting;

    DeclaredCapability(String label, String description, String setting) {
        this.label = label;
        this.description = description;
        this.setting = setting;
    }

    /** What the invoker is declared to do, as operators read it. */
    public String description() {
        return description;
    }

    /** The setting that declares it. */
    public String setting() {
        return setting;
    }

    /** Its name in metrics. */
    public String label() {
        return label;
    }
}
