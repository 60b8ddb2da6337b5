/** Settings of small deployments, with the figures of the sites' pages. */
final class Settings {
    private Settings() {}

    private static String lane(
            String name, String idempotency, long aimUs, long deadlineUs, double worth) {
        return "{\"aim_us\":" + aimUs + ",\"deadline_us\":" + deadlineUs
                + ",\"group\":\"all\",\"idempotency\":\"" + idempotency
                + "\",\"late_worth\":0.3,\"name\":\"" + name + "\",\"streamed\":false,\"value\":"
                + worth + ",\"window_us\":" + deadlineUs + "}";
    }

    /** The site colombo-main. */
    static String colombo(int index, int controllers) {
        return colombo(index, controllers, 1);
    }

    /** The site colombo-main with aims and deadlines multiplied by a factor. */
    static String colombo(int index, int controllers, double factor) {
        long aimUs = (long) (600_000 * factor);
        long deadlineUs = (long) (5_000_000 * factor);
        String lanes =
                lane("free-slots", "read_like", aimUs, deadlineUs, 2)
                        + "," + lane("slot-suggest", "read_like", 2 * aimUs, deadlineUs, 3)
                        + "," + lane("book-slot", "non_idempotent", aimUs, deadlineUs, 3);
        return "{\"azs\":[\"hall-a\",\"hall-b\"],\"balancers\":" + controllers
                + ",\"clients\":{\"marks_retry\":true},\"discovery\":\"automatic\",\"domain\":{"
                + "\"free_loads\":0.0,\"idle_memory_cost\":0.1,\"keep_alive_us\":9900000,"
                + "\"load_period_us\":0,\"load_ratio\":0.0,\"load_wait_us\":10000000,"
                + "\"memory_mb_by_kind\":[98304.0],\"not_loaded\":\"miss\","
                + "\"placement_calls\":true,"
                + "\"report_x0\":\"share of memory that is at work or loading\","
                + "\"report_x1\":\"loads under way or waiting\",\"says_company\":true,"
                + "\"says_warm\":false},\"lanes\":[" + lanes + "],\"layers\":[\"slot-workers\"],"
                + "\"limits\":{\"cancel\":true,\"connect_timeout_us\":250000,"
                + "\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":400000,\"idle_close_us\":15000000,"
                + "\"max_attempts\":5,\"max_open\":20000,\"max_retry_after_us\":2000000,"
                + "\"may_probe\":true,\"peer_messages\":false,\"retry_after\":true,"
                + "\"second_copies\":false,\"streams_per_conn\":100},\"me\":" + index
                + ",\"objective_mix\":{\"whole\":0.5,\"worst_class\":0.2,\"worst_tenant\":0.0,"
                + "\"worst_window\":0.3},\"over_share_worth\":0.1,\"prices\":{\"cross_zone\":0.01,"
                + "\"late_fail\":0.03,\"origin\":0.1,\"peer\":0.01,\"probe\":0.01,\"waste\":0.08},"
                + "\"report\":{\"how\":\"probe\",\"names\":[\"queue\",\"x0\",\"x1\"]},"
                + "\"rules\":{\"answer_slack_us\":16000,\"ask_every_us\":10000000,"
                + "\"cold_from\":0.15,\"drain_grace_us\":1000000,\"fall_multiple\":2.0,"
                + "\"overload_for_us\":3000000,\"warm_after_us\":18000000},"
                + "\"shapes\":[\"std-4core\"],\"tenants\":[],\"tick_us\":2000,\"tier\":0,"
                + "\"weight_kind\":\"nominal\",\"workload\":\"warm\",\"worth_by\":\"request\","
                + "\"zone\":0}";
    }
}
