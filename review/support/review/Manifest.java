package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The operator's manifest. */
final class Manifest {
  private final List<Object> routes = new ArrayList<>();
  private final List<Object> services = new ArrayList<>();
  private final List<Object> tenants = new ArrayList<>();
  private long version = 3;

  Manifest route(
      String database, String service, String kind, long timeout, long target, long staleness) {
    routes.removeIf(
        route -> Json.object(route).get("databaseName").equals(database));
    Map<String, Object> route =
        Json.map(
            "name", "r-" + database, "databaseName", database, "prefix", "/", "routeKind", kind,
            "timeoutMs", timeout, "targetLatencyMs", target, "priority", 1, "service", service,
            "maxAttempts", 2, "public", false);
    if (!kind.equals("primary")) {
      route.put("maxStalenessMs", staleness);
    }
    routes.add(route);
    return this;
  }

  /** Adds a route with the fields that hosts need. */
  Manifest briefRoute(String database, String service, long staleness) {
    routes.add(
        Json.map(
            "name", "r-" + database, "databaseName", database, "routeKind", "read_own_writes",
            "timeoutMs", 800, "targetLatencyMs", 250, "priority", 2, "service", service,
            "maxStalenessMs", staleness, "public", false));
    return this;
  }

  Manifest service(String name, int maximumConnections, int synchronousReplicas) {
    services.add(
        Json.map(
            "name", name, "healthPath", "/health", "maxConns", maximumConnections, "protocol", "h1",
            "tls", false, "syncReplicas", synchronousReplicas));
    return this;
  }

  Manifest tenant(String name, String key, double rate, double burst) {
    tenants.add(
        Json.map("name", name, "apiKeys", List.of(key), "ratePerS", rate, "burst", burst));
    return this;
  }

  /** Writes the next version to the store, which confirms it; returns its size in bytes. */
  int publish(Platform platform, Trace trace) {
    version += 2;
    String text =
        Json.write(
            Json.map(
                "version", version, "routes", routes, "services", services, "tenants", tenants,
                "limits", Json.map("txIdleMs", 3000)));
    platform.put("op", "config", text);
    trace.log("operator: manifest %d is confirmed, %d bytes", version, text.length());
    return text.length();
  }
}
