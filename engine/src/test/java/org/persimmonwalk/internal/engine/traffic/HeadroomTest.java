package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.id.DatabaseGroupId;

/** Tests how much room each priority must leave to the more urgent routes of its group. */
class HeadroomTest {
  private static final DatabaseGroupId GROUP = DatabaseGroupId.of("g");
  private static final DatabaseGroupId OTHER = DatabaseGroupId.of("other");

  private final Headroom headroom = new Headroom();
  private final Map<DatabaseName, Route> routes = new HashMap<>();

  private void addRoute(DatabaseGroupId group, int priority, int targetMillis) {
    DatabaseName name = DatabaseName.of("r" + routes.size());
    routes.put(
        name,
        new Route(
            name,
            group,
            RouteKind.PRIMARY,
            Duration.ofSeconds(2),
            Duration.ofMillis(targetMillis),
            priority,
            Duration.ZERO,
            false));
  }

  private RoutingConfiguration configuration(long version) {
    return new RoutingConfiguration(
        version, routes, Map.of(), Map.of(), Map.of(), Duration.ofSeconds(3));
  }

  /** Guards against limits where all work has the same priority. */
  @Test
  void shouldAskNothingOfOnePriority() {
    addRoute(GROUP, 1, 60);
    addRoute(GROUP, 1, 300);

    assertThat(headroom.millis(configuration(1), GROUP, 1)).isEmpty();
    assertThat(headroom.hasSeveralLevels(configuration(1), GROUP)).isFalse();
  }

  /** Guards against a middle priority that makes room as early as the lowest one. */
  @Test
  void shouldLetTheLowestPriorityMakeRoomFirst() {
    addRoute(GROUP, 0, 150);
    addRoute(GROUP, 1, 240);
    addRoute(GROUP, 2, 800);
    RoutingConfiguration configuration = configuration(1);

    assertThat(headroom.millis(configuration, GROUP, 0)).isEmpty();
    assertThat(headroom.millis(configuration, GROUP, 1)).hasValue(25);
    assertThat(headroom.millis(configuration, GROUP, 2)).hasValue(12.5);
    assertThat(headroom.hasLessUrgent(configuration, GROUP, 1)).isTrue();
    assertThat(headroom.hasLessUrgent(configuration, GROUP, 2)).isFalse();
  }

  /** Guards against urgent routes of other groups, and of an older configuration, that count. */
  @Test
  void shouldFollowTheRoutesOfTheGroupInForce() {
    addRoute(GROUP, 1, 240);
    addRoute(OTHER, 0, 60);
    assertThat(headroom.millis(configuration(1), GROUP, 1)).isEmpty();

    addRoute(GROUP, 0, 120);
    assertThat(headroom.millis(configuration(2), GROUP, 1)).hasValue(20);
  }
}
