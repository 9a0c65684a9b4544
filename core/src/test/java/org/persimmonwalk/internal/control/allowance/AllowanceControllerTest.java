package org.persimmonwalk.internal.control.allowance;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.testing.LeaseFleet;
import org.persimmonwalk.testing.LeaseHost;

/** Guards against more connections to a backend server than it accepts, over all hosts together. */
class AllowanceControllerTest {
  static final BackendServerId SERVER = BackendServerId.of("a");
  private static final int CONNECTIONS = 20;
  private static final Duration STEP = Duration.ofMillis(50);
  private static final LeaseSettings SETTINGS =
      new LeaseSettings(Duration.ofSeconds(60), Duration.ofSeconds(2));

  private LeaseFleet fleet;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void shouldNeverExceedConnectionsOfServer(long seed) {
    fleet = new LeaseFleet(6, SETTINGS, configuration(1, CONNECTIONS), seed);
    fleet.store().setLostAnswerPercent(30);
    fleet.network().setFaultPercent(5);
    for (int second = 0; second < 300; second++) {
      injectFault();
      run(Duration.ofSeconds(1), CONNECTIONS);
    }
    fleet.store().setDown(false);
    fleet.store().setLostAnswerPercent(0);
    fleet.network().setFaultPercent(0);
    fleet.network().setPartitioned(false);
    fleet.hosts().forEach(host -> host.wantConnections(SERVER, CONNECTIONS));
    run(Duration.ofSeconds(240), CONNECTIONS);
    assertThat(open()).isGreaterThan(CONNECTIONS / 2);
  }

  @Test
  void shouldMoveConnectionsToHostThatNeedsThem() {
    fleet = new LeaseFleet(4, SETTINGS, configuration(1, CONNECTIONS), 1);
    fleet.hosts().forEach(host -> host.wantConnections(SERVER, 2));
    run(Duration.ofSeconds(5), CONNECTIONS);
    fleet.hosts().get(0).wantConnections(SERVER, 12);
    run(Duration.ofSeconds(10), CONNECTIONS);
    assertThat(fleet.hosts().get(0).connections(SERVER)).isGreaterThanOrEqualTo(10);
  }

  /**
   * Guards against connections that are still open when the lease ends, because closing takes time.
   */
  @Test
  void shouldLowerAllowanceBeforeLeaseEnds() {
    fleet = new LeaseFleet(2, SETTINGS, configuration(1, CONNECTIONS), 1);
    fleet.hosts().forEach(host -> host.wantConnections(SERVER, 10));
    run(Duration.ofSeconds(5), CONNECTIONS);
    assertThat(open()).isEqualTo(CONNECTIONS);
    fleet.store().setDown(true);
    run(Duration.ofSeconds(49), CONNECTIONS);
    assertThat(open()).isZero();
  }

  /** Guards against keeping the old number of connections after a server accepts fewer. */
  @Test
  void shouldFollowLoweredConnectionsOfServer() {
    fleet = new LeaseFleet(4, SETTINGS, configuration(1, CONNECTIONS), 1);
    fleet.hosts().forEach(host -> host.wantConnections(SERVER, 10));
    run(Duration.ofSeconds(5), CONNECTIONS);
    fleet.hosts().forEach(host -> host.configure(configuration(2, 8)));
    fleet.time().advance(Duration.ofSeconds(1));
    run(Duration.ofSeconds(60), 8);
    assertThat(open()).isGreaterThanOrEqualTo(6);
  }

  /**
   * Guards against a control thread that is never idle. A listener reports connections when the map
   * is replaced, and the report wakes the control thread, so a new map in each round kept it busy.
   */
  @Test
  void shouldKeepMapWhileNoAllowanceChanges() {
    fleet = new LeaseFleet(2, SETTINGS, configuration(1, CONNECTIONS), 1);
    fleet.hosts().forEach(host -> host.wantConnections(SERVER, 2));
    run(Duration.ofSeconds(5), CONNECTIONS);
    Map<BackendServerId, Integer> before = allowances();
    run(Duration.ofSeconds(1), CONNECTIONS);
    assertThat(allowances()).isSameAs(before).containsKey(SERVER);
  }

  /**
   * Guards against keeping a withdrawn server: most rounds run only the servers with observations,
   * and a withdrawn one has none.
   */
  @Test
  void shouldForgetWithdrawnServer() {
    fleet = new LeaseFleet(2, SETTINGS, configuration(1, CONNECTIONS), 1);
    run(Duration.ofSeconds(5), CONNECTIONS);
    Configuration empty =
        new Configuration(
            Revision.of(2), ReleaseNoteId.of("withdrawn"), Map.of(), Map.of(), Map.of());
    fleet.hosts().forEach(host -> host.configure(empty));
    run(Duration.ofSeconds(1), CONNECTIONS);
    assertThat(allowances()).isEmpty();
  }

  private Map<BackendServerId, Integer> allowances() {
    return fleet.hosts().get(0).snapshot().get(Entries.CONNECTION_ALLOWANCES);
  }

  private void injectFault() {
    int choice = fleet.random().nextInt(40);
    LeaseHost host = fleet.hosts().get(fleet.random().nextInt(fleet.hosts().size()));
    if (choice == 0 && fleet.hosts().size() > 3) {
      fleet.kill(host);
    } else if (choice == 1 && fleet.hosts().size() < 9) {
      fleet.join();
    } else if (choice == 2) {
      fleet.pause(host, Duration.ofMillis(fleet.random().nextInt(1500)));
    } else if (choice == 3) {
      fleet.store().setDown(fleet.random().nextInt(2) == 0);
    } else if (choice == 4) {
      fleet.network().setPartitioned(fleet.random().nextInt(2) == 0);
    } else if (choice == 5 && fleet.hosts().size() > 3) {
      fleet.stop(host);
    } else {
      host.wantConnections(SERVER, fleet.random().nextInt(CONNECTIONS));
    }
  }

  private void run(Duration span, int limit) {
    for (long step = 0; step < span.dividedBy(STEP); step++) {
      fleet.time().advance(STEP);
      assertThat(open()).isLessThanOrEqualTo(limit);
    }
  }

  private int open() {
    return fleet.hosts().stream().mapToInt(host -> host.connections(SERVER)).sum();
  }

  static Configuration configuration(long revision, int connections) {
    BackendServer server =
        BackendServer.of(
            SERVER,
            AvailabilityZone.of("zone-a"),
            SocketEndpoint.of("127.0.0.1", 5432),
            2,
            connections);
    DatabaseGroup group =
        DatabaseGroup.of(DatabaseGroupId.of("g"), List.of(server), Duration.ofSeconds(30));
    return new Configuration(
        Revision.of(revision),
        ReleaseNoteId.of("note-" + revision),
        Map.of(),
        Map.of(),
        Map.of(group.id(), group));
  }
}
