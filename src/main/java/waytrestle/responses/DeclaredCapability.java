package waytrestle.responses;

/** What settings say that invokers tell or do, as far as answers can show whether it is so. */
public enum DeclaredCapability {
    START("start", "says of each answer whether the copy stood loaded", "loading.tells_start"),
    CONCURRENCY(
            "company", "says how many calls of the function were there", "loading.tells_company"),
    INSTANCES("copies", "says how many copies stand after a load order", "loading.orders"),
    LOAD_REPORTS("reports", "reports its load with each answer", "reports.how"),
    NOT_LOADED_RESPONSES(
            "miss_answers",
            "answers 404 for what it lacks, or loads it while the call waits, as stated",
            "loading.miss_answers"),
    KEEP_ALIVE("keep_alive", "keeps an idle copy for the stated time", "loading.keep_alive_ms"),
    LOAD_TIME("load_time", "loads the function in about the stated time", "function.load_ms"),
    WORK_TIME("work_time", "runs the function in about the stated time", "function.work_ms");
    private final String label;
    private final String description;
    private final String setting;

    DeclaredCapability(String label, String text, String setting) {
        this.label = label;
        this.description = text;
        this.setting = setting;
    }

    public String description() {
        return description;
    }

    public String setting() {
        return setting;
    }

    public String label() {
        return label;
    }
}
