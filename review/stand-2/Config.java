import java.util.ArrayList;
import java.util.List;

/** The operator's configuration. */
final class Config {

    private Config() {}

    static String tenant(String name, String key) {
        return "{\"name\":\"%s\",\"api_keys\":[\"%s\"],\"priority\":1,\"rate_per_s\":1000,\"burst\":1000}"
                .formatted(name, key);
    }

    static String batch(String name, String host, String prefix, String service, int attempts, int maxQueueSeconds) {
        return """
                {"name":"%s","host":"%s","prefix":"%s","route_type":"batch","timeout_ms":15000,\
                "target_latency_ms":400,"priority":2,"service":"%s","attempts":%d,"public":false,\
                "sticky_sessions":true,"can_resume":true,"gap_target_ms":400,"completion_target_ms":18000,\
                "max_queue_s":%d,"max_count":780000}"""
                .formatted(name, host, prefix, service, attempts, maxQueueSeconds);
    }

    static String online(String name, String host, String prefix, String service, String type, int attempts, boolean resume) {
        return """
                {"name":"%s","host":"%s","prefix":"%s","route_type":"%s","timeout_ms":5000,"target_latency_ms":300,\
                "priority":0,"service":"%s","attempts":%d,"public":false,"sticky_sessions":true,"can_resume":%s,\
                "gap_target_ms":400}"""
                .formatted(name, host, prefix, type, service, attempts, resume);
    }

    static String service(String name) {
        return """
                {"name":"%s","health_path":"/healthz","max_conns":620,"protocol":"h1","tls":false,"warmup_s":3.0,\
                "warmup_per_s":47.0}"""
                .formatted(name);
    }

    static String of(int version, List<String> routes, List<String> services, List<String> tenants) {
        return """
                {"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,\
                "max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[%s]}"""
                .formatted(version, String.join(",", routes), String.join(",", services), String.join(",", tenants));
    }

    /** Returns identities in hexadecimal. */
    static List<String> ids(String prefix, int count) {
        List<String> ids = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            ids.add(prefix + "%04x".formatted(index));
        }
        return ids;
    }
}
