package review;

/** The configuration of a small deployment: one service, a route for streams, one for batch jobs, and two tenants. */
public final class Site {

    /** The name of the service. */
    public static final String SERVICE = "assistant";

    /** The host of the route for streams. */
    public static final String STREAM_HOST = "nony24.example";

    /** The prefix of the route for streams. */
    public static final String STREAM_PREFIX = "/lohu930/";

    /** The host of the route for batch jobs. */
    public static final String BATCH_HOST = "pony31.example";

    /** The prefix of the route for batch jobs. */
    public static final String BATCH_PREFIX = "/pule252/";

    /** The key of the first tenant that all versions hold. */
    public static final String KEY = "i9n73hh2b9wu3fexd9dn";

    private Site() {}

    /**
     * Returns a version of the configuration.
     *
     * @param version The version.
     * @param secondKey A second key of the first tenant; empty for none.
     */
    public static String configuration(int version, String secondKey) {
        return configuration(version, secondKey, 200);
    }

    /**
     * Returns a version of the configuration.
     *
     * @param version The version.
     * @param secondKey A second key of the first tenant; empty for none.
     * @param rate The requests a second and the burst of each tenant; 0 for no limit.
     */
    public static String configuration(int version, String secondKey, int rate) {
        String keys = "\"" + KEY + "\"" + (secondKey.isEmpty() ? "" : ",\"" + secondKey + "\"");
        return "{\"version\":" + version + ",\"routes\":["
                + "{\"name\":\"r-stream\",\"host\":\"" + STREAM_HOST + "\",\"prefix\":\"" + STREAM_PREFIX
                + "\",\"route_type\":\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":300,\"priority\":0,"
                + "\"service\":\"" + SERVICE + "\",\"attempts\":1,\"public\":false,\"sticky_sessions\":true,"
                + "\"can_resume\":false,\"gap_target_ms\":400},"
                + "{\"name\":\"r-batch\",\"host\":\"" + BATCH_HOST + "\",\"prefix\":\"" + BATCH_PREFIX
                + "\",\"route_type\":\"batch\",\"timeout_ms\":15000,\"target_latency_ms\":400,\"priority\":2,"
                + "\"service\":\"" + SERVICE + "\",\"attempts\":3,\"public\":false,\"sticky_sessions\":true,"
                + "\"can_resume\":true,\"gap_target_ms\":400,\"completion_target_ms\":18000,\"max_queue_s\":60,"
                + "\"max_count\":780000}],"
                + "\"services\":[{\"name\":\"" + SERVICE + "\",\"health_path\":\"/healthz\",\"max_conns\":620,"
                + "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":47.0,"
                + "\"engine\":{\"capacity\":8,\"kv_capacity\":72000,\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"kaje80\",\"api_keys\":[" + keys
                + "],\"priority\":1,\"rate_per_s\":" + rate + ",\"burst\":" + rate + "},"
                + "{\"name\":\"suto17\",\"api_keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1,"
                + "\"rate_per_s\":" + rate + ",\"burst\":" + rate + "}]}";
    }
}
