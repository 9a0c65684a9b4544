package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.internal.engine.traffic.Session;

class RateTest {
  private static final double RATE = 10;
  private static final int HOSTS = 6;

  private final EngineFixture fixture = new EngineFixture(HOSTS);

  private int admittedIn(Duration duration, int perRound) {
    List<Session> sessions = new ArrayList<>();
    List<FakeCaller> callers = new ArrayList<>();
    for (Engine host : fixture.hosts) {
      FakeCaller caller = new FakeCaller();
      callers.add(caller);
      sessions.add(fixture.open(host, RouteKind.PRIMARY, caller));
    }
    int before = fixture.servers.sent().size();
    for (long at = 0; at < duration.toMillis(); at += 100) {
      for (Session session : sessions) {
        for (int i = 0; i < perRound; i++) {
          session.receive(RequestId.of("q"), new Statement.Data(false, "READ x"));
        }
      }
      fixture.run(Duration.ofMillis(100));
    }
    return fixture.servers.sent().size() - before;
  }

  private void limit() {
    fixture.publish(
        EngineFixture.configuration(
            2, RATE, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    fixture.run(Duration.ofMillis(1500));
  }

  /** Guards against hosts that together exceed the limit of a workspace that sends far more. */
  @Test
  void shouldKeepTheLimitOverAllHosts() {
    limit();
    double tolerated = (RATE * 5 + RATE) * 1.1 + 20;

    assertThat(admittedIn(Duration.ofSeconds(5), 3)).isLessThanOrEqualTo((int) tolerated);
  }

  /** Guards against refusing more than 1 % of a workspace with even demand inside its limit. */
  @Test
  void shouldAdmitWhatTheLimitAllows() {
    admittedIn(Duration.ofSeconds(1), 1);

    assertThat(admittedIn(Duration.ofSeconds(3), 1)).isGreaterThanOrEqualTo(HOSTS * 30 * 99 / 100);
  }

  /** Guards against refusing callers whose sessions were open when the store went away. */
  @Test
  void shouldAdmitFirstOperationsWhileTheStoreIsAway() {
    FakeCaller caller = new FakeCaller();
    Session session = fixture.open(fixture.hosts.get(0), RouteKind.PRIMARY, caller);
    fixture.run(Duration.ofMillis(1500));
    fixture.storeIsUp = false;
    fixture.run(Duration.ofMillis(1000));
    for (int i = 0; i < 5; i++) {
      fixture.send(session, "q" + i, new Statement.Data(false, "READ x"));
    }

    assertThat(fixture.servers.sent()).hasSize(5);
  }

  /**
   * Guards against refusing a small workspace whose callers are spread over many hosts: tokens that
   * rest at hosts with open sessions must leave enough for the others.
   */
  @Test
  void shouldAdmitASmallWorkspaceSpreadOverManyHosts() {
    EngineFixture fleet = new EngineFixture(15);
    fleet.publish(
        EngineFixture.configuration(
            2, 4, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    fleet.run(Duration.ofMillis(1500));
    List<Session> sessions = new ArrayList<>();
    fleet.hosts.forEach(
        host -> sessions.add(fleet.open(host, RouteKind.PRIMARY, new FakeCaller())));
    fleet.run(Duration.ofSeconds(8));
    for (int i = 0; i < 30; i++) {
      Session session = sessions.get(i % sessions.size());
      session.receive(RequestId.of("q" + i), new Statement.Data(false, "READ x"));
      fleet.run(Duration.ofMillis(400));
    }

    assertThat(fleet.servers.sent()).hasSize(30);
  }

  /** Guards against hosts that spend tokens on after they were cut off and others took over. */
  @Test
  void shouldKeepTheLimitWhileHostsAreCutOff() {
    limit();
    admittedIn(Duration.ofSeconds(2), 1);
    fixture.cutOff(fixture.hosts.get(0), true);
    fixture.cutOff(fixture.hosts.get(1), true);
    double tolerated = (RATE * 5 + RATE) * 1.1 + 20;

    assertThat(admittedIn(Duration.ofSeconds(5), 3)).isLessThanOrEqualTo((int) tolerated);
  }

  /**
   * Guards against tokens that count twice: the hosts of the zone spend what a relay has lent them
   * after it is gone, while its successor takes tokens anew.
   */
  @Test
  void shouldKeepTheLimitWhileTheRelayIsReplaced() {
    limit();
    fixture.run(Duration.ofSeconds(3));
    double tolerated = (RATE * 5 + RATE) * 1.1 + 20;
    admittedIn(Duration.ofSeconds(1), 1);
    fixture.freeze(relay(), true);

    assertThat(admittedIn(Duration.ofSeconds(5), 3)).isLessThanOrEqualTo((int) tolerated);
  }

  /** Guards against a relay that lends on what it held before its machine was suspended. */
  @Test
  void shouldKeepTheLimitWhenTheRelayResumes() {
    limit();
    fixture.run(Duration.ofSeconds(3));
    admittedIn(Duration.ofSeconds(1), 1);
    double tolerated = (RATE * 5 + RATE) * 1.1 + 20;
    fixture.storeIsUp = false;
    fixture.stepTimeOfDay(Duration.ofSeconds(8));
    fixture.run(Duration.ofMillis(200));

    assertThat(admittedIn(Duration.ofSeconds(1), 3)).isZero();

    fixture.storeIsUp = true;
    assertThat(admittedIn(Duration.ofSeconds(5), 3)).isLessThanOrEqualTo((int) tolerated);
  }

  /**
   * Guards against a relay that comes back and takes the tokens of its last process anew while the
   * other hosts still spend them.
   */
  @Test
  void shouldKeepTheLimitWhileTheRelayIsRestarted() {
    limit();
    fixture.run(Duration.ofSeconds(3));
    double tolerated = (RATE * 5 + RATE) * 1.1 + 20;
    int admitted = admittedIn(Duration.ofSeconds(1), 1);
    for (int i = 0; i < 4; i++) {
      fixture.restart(relay());
      fixture.run(Duration.ofMillis(200));
      admitted += admittedIn(Duration.ofSeconds(1), 3);
    }

    assertThat(admitted).isLessThanOrEqualTo((int) tolerated);
  }

  /** Guards against tokens that stay counted for seconds after all processes were killed. */
  @Test
  void shouldAdmitSoonAfterAllHostsAreRestarted() {
    fixture.run(Duration.ofSeconds(3));
    admittedIn(Duration.ofSeconds(3), 1);
    List.copyOf(fixture.hosts).forEach(fixture::restart);
    fixture.run(Duration.ofMillis(1500));

    assertThat(admittedIn(Duration.ofSeconds(3), 1)).isGreaterThanOrEqualTo(HOSTS * 30 * 95 / 100);
  }

  /**
   * Guards against tokens in the bucket that hosts hold as well: after a rest both are full, and a
   * burst spends them together.
   */
  @Test
  void shouldKeepTheLimitInABurstAfterARest() {
    limit();
    for (Engine host : fixture.hosts) {
      fixture.open(host, RouteKind.PRIMARY, new FakeCaller());
    }
    fixture.run(Duration.ofSeconds(12));
    double tolerated = (RATE * 5 + RATE) * 1.1 + 20;

    assertThat(admittedIn(Duration.ofSeconds(5), 4)).isLessThanOrEqualTo((int) tolerated);
  }

  private Engine relay() {
    return fixture.hosts.stream()
        .filter(host -> fixture.entry(host, EngineEntries.RELAY_ROLE).equals(RelayRole.RELAYING))
        .findFirst()
        .orElseThrow();
  }
}
