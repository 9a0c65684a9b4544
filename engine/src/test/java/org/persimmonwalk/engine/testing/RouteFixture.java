package org.persimmonwalk.engine.testing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.id.DatabaseGroupId;

/** Routes for tests. */
final class RouteFixture {

  private RouteFixture() {}

  /** Returns a route of each kind to the group, whose database name is the kind. */
  static Map<DatabaseName, Route> routes(DatabaseGroupId group) {
    Map<DatabaseName, Route> routes = new HashMap<>();
    for (RouteKind kind : RouteKind.values()) {
      Route route =
          new Route(
              DatabaseName.of(kind.name()),
              group,
              kind,
              Duration.ofMillis(800),
              Duration.ofMillis(200),
              1,
              Duration.ofMillis(1500),
              false);
      routes.put(route.database(), route);
    }
    return routes;
  }
}
