package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the choice of servers by many hosts at once, each of which knows only old samples. */
class FleetBalanceTest {
  private static final int HOSTS = 94;
  private static final int GROUPS = 6;
  private static final Duration WARM_UP = Duration.ofSeconds(20);
  private static final Duration WINDOW = Duration.ofSeconds(10);

  private static SimulatedFleet fleet(double requestsPerSecond) {
    return new SimulatedFleet(HOSTS, GROUPS, requestsPerSecond, WeightedTwoChoices::create);
  }

  /** Guards against hosts that choose alike: the busiest server had 4.0 times the mean. */
  @ParameterizedTest
  @ValueSource(doubles = {500, 1500, 3000})
  void shouldKeepTheBusiestServerNearTheMean(double requestsPerSecond) {
    SimulatedFleet fleet = fleet(requestsPerSecond);
    fleet.startReports();
    fleet.run(WARM_UP);

    for (int i = 0; i < 5; i++) {
      assertThat(SimulatedFleet.busiestToMean(fleet.run(WINDOW))).isLessThanOrEqualTo(1.5);
    }
  }

  /** Guards against an uneven load while a zone has no relay, so that own samples must do. */
  @ParameterizedTest
  @ValueSource(doubles = {500, 1500, 3000})
  void shouldKeepTheBusiestServerNearTheMeanWithoutRelay(double requestsPerSecond) {
    SimulatedFleet fleet = fleet(requestsPerSecond);
    fleet.run(WARM_UP);

    for (int i = 0; i < 5; i++) {
      assertThat(SimulatedFleet.busiestToMean(fleet.run(WINDOW))).isLessThanOrEqualTo(1.5);
    }
  }

  /** Guards against a slow server that is overloaded, or idle although it could do a part. */
  @ParameterizedTest
  @ValueSource(doubles = {500, 1500, 3000})
  void shouldGiveAboutAQuarterToAServerFourTimesSlower(double requestsPerSecond) {
    SimulatedFleet fleet = fleet(requestsPerSecond);
    fleet.startReports();
    fleet.servers.get(0).slowness = 4;
    fleet.run(WARM_UP);

    List<Integer> received = fleet.run(WINDOW.multipliedBy(3));

    double others =
        IntStream.range(1, SimulatedFleet.SERVERS_PER_GROUP)
            .mapToDouble(received::get)
            .average()
            .orElseThrow();
    assertThat(received.get(0) / others).isBetween(0.1, 0.4);
  }

  /** Guards against degraded servers that get too much, or that leave all work to the last one. */
  @Test
  void shouldLeaveMostToTheHealthyServerWhileTwoOfThreeAreSlow() {
    SimulatedFleet fleet = fleet(1500);
    fleet.startReports();
    fleet.servers.get(0).slowness = 6;
    fleet.servers.get(1).slowness = 6;
    fleet.run(WARM_UP);

    List<Integer> received = fleet.run(WINDOW.multipliedBy(3));

    int group = received.get(0) + received.get(1) + received.get(2);
    assertThat((double) received.get(2) / group).isBetween(0.6, 0.95);
    assertThat(received.get(0)).isGreaterThan(group / 50);
    assertThat(received.get(1)).isGreaterThan(group / 50);
  }

  /** Guards against choices that open a connection, which is priced, for the sake of evenness. */
  @Test
  void shouldOpenFewConnections() {
    SimulatedFleet fleet = fleet(3000);
    fleet.startReports();
    fleet.run(WARM_UP);
    fleet.requests = 0;
    fleet.openedConnections = 0;

    fleet.run(WINDOW);

    assertThat(fleet.openedConnections).isLessThan(fleet.requests / 50);
  }
}
