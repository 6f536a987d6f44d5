import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A small deployment: a store, the configuration of one service, and some machines in three zones. */
final class Deployment {
    static final String HOST = "ficu95.example", KEY = "i9n73hh2b9wu3fexd9dn", SERVICE = "wuno96b";
    static final String MODELS = "huvo11a", SUMMARY = "/pufi791/";
    static final String LOOKUP = "/cufi504/", RECORD = "/puxa403/";
    static final List<String> ZONES = List.of("lbk-a", "lbk-b", "mdl-c");

    /** Bounds of the sheets of the first deployments. */
    static final Map<String, String> SITE_BOUNDS = Map.of(
            "grace_period_s", "8", "configuration_apply_ms", "2000", "contact_timeout_ms", "3000",
            "drain_ms", "2000", "retry_budget_ratio", "0.2", "retry_budget_slack", "54",
            "quota_window_s", "8", "quota_overage", "0.1", "quota_slack", "190000");

    /** Bounds of the sheets of the grown deployments. */
    static final Map<String, String> GROWN_BOUNDS = Map.of(
            "grace_period_s", "8", "configuration_apply_ms", "3000", "contact_timeout_ms", "4000",
            "drain_ms", "3000", "retry_budget_ratio", "0.2", "retry_budget_slack", "162",
            "quota_window_s", "8", "quota_overage", "0.1", "quota_slack", "190000");

    final Store store;
    final List<Lab.Gateway> gateways = new ArrayList<>();
    final List<Lab.Proxy> storePaths = new ArrayList<>();
    final List<Replica> replicas = new ArrayList<>();

    /** Starts the store and sets {@code count} machines up, each with its own path to the store. */
    Deployment(int count, Map<String, String> bounds) throws Exception {
        store = new Store(Lab.ip(1));
        store.put("op/config", configuration(7));
        String seeds = Lab.ip(11) + ":8229," + Lab.ip(12) + ":8229," + Lab.ip(13) + ":8229";
        for (int i = 0; i < count; i++) {
            String zone = ZONES.get(i % ZONES.size());
            Lab.Proxy path = new Lab.Proxy(Lab.ip(2), store.server.address());
            storePaths.add(path);
            String name = "front-" + zone + "-" + (1 + i / ZONES.size());
            gateways.add(new Lab.Gateway(name, 11 + i, zone, path.address(), bounds, seeds));
        }
    }

    static Map<String, Object> configuration(long version) {
        return Json.map(
                "version", version,
                "routes", List.of(
                        route("r-look", LOOKUP, "idempotent", 2),
                        route("r-record", RECORD, "non_idempotent", 1),
                        Json.map("name", "r-summary", "host", HOST, "prefix", SUMMARY,
                                "kind", "streaming", "timeout_ms", 5000, "target_latency_ms", 1000,
                                "priority", 1, "service", MODELS, "attempts", 1,
                                "allow_anonymous", false, "session_affinity", true,
                                "stream_resumption", false, "target_gap_ms", 300)),
                "services", List.of(
                        Json.map("name", MODELS, "health_check_path", "/health",
                                "max_connections", 360, "protocol", "h1", "tls", false,
                                "engine", Json.map("slots", 5, "kv_cache_tokens", 716074,
                                        "stride", 4, "models", List.of(Json.map("name", "m")))),
                        Json.map("name", SERVICE, "health_check_path", "/health",
                        "max_connections", 100, "protocol", "h1", "tls", false)),
                "limits", Json.map("max_header_bytes", 16384, "max_body_bytes", 4194304,
                        "header_timeout_ms", 3000, "idle_timeout_ms", 15000),
                "tenants", List.of(Json.map("name", "hule930", "api_keys", List.of(KEY),
                        "priority", 1, "unit", "tokens", "uncached_tokens", 200,
                        "rate_per_s", 1000000, "burst", 1000000)));
    }

    private static Map<String, Object> route(String name, String prefix, String kind, int attempts) {
        return Json.map("name", name, "host", HOST, "prefix", prefix, "kind", kind,
                "timeout_ms", 1000, "target_latency_ms", 193, "priority", 2, "service", SERVICE,
                "attempts", attempts, "allow_anonymous", false, "session_affinity", false);
    }

    void add(Replica replica) {
        replicas.add(replica);
        Lab.note("replica " + replica.id + " in " + replica.zone);
    }

    /** Starts all machines and waits until they are ready. */
    void start() throws Exception {
        for (Lab.Gateway gateway : gateways) gateway.start();
        for (Lab.Gateway gateway : gateways) {
            Lab.await(gateway.name + " is ready", 30_000, gateway::isReady);
        }
        Lab.note("all machines are ready");
    }
}
