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

  private int sendAndCountAdmitted(Duration duration, int perStep) {
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
        for (int i = 0; i < perStep; i++) {
          session.receive(RequestId.of("q"), new Statement.Data(false, "READ x"));
        }
      }
      fixture.run(Duration.ofMillis(100));
    }
    return fixture.servers.sent().size() - before;
  }

  private void publishLimit() {
    fixture.publish(
        EngineFixture.configuration(
            2, RATE, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    fixture.run(Duration.ofMillis(1500));
  }

  /** Guards against hosts that together admit more than the limit under much higher demand. */
  @Test
  void shouldKeepTheLimitOverAllHosts() {
    publishLimit();
    double tolerated = (RATE * 5 + RATE) * 1.1 + 20;

    assertThat(sendAndCountAdmitted(Duration.ofSeconds(5), 3)).isLessThanOrEqualTo((int) tolerated);
  }

  /** Guards against refusing more than 1 % of a steady demand within the limit. */
  @Test
  void shouldAdmitWhatTheLimitAllows() {
    sendAndCountAdmitted(Duration.ofSeconds(1), 1);

    assertThat(sendAndCountAdmitted(Duration.ofSeconds(3), 1))
        .isGreaterThanOrEqualTo(HOSTS * 30 * 99 / 100);
  }

  /** Guards against refusing callers whose sessions were already open when the store went down. */
  @Test
  void shouldAdmitFirstOperationsWhileTheStoreIsDown() {
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
   * Guards against refusing a small workspace whose callers are spread over many hosts: the tokens
   * held by hosts with idle sessions must leave enough for the others.
   */
  @Test
  void shouldAdmitASmallWorkspaceSpreadOverManyHosts() {
    EngineFixture largeFleet = new EngineFixture(15);
    largeFleet.publish(
        EngineFixture.configuration(
            2, 4, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    largeFleet.run(Duration.ofMillis(1500));
    List<Session> sessions = new ArrayList<>();
    largeFleet.hosts.forEach(
        host -> sessions.add(largeFleet.open(host, RouteKind.PRIMARY, new FakeCaller())));
    largeFleet.run(Duration.ofSeconds(8));
    for (int i = 0; i < 30; i++) {
      Session session = sessions.get(i % sessions.size());
      session.receive(RequestId.of("q" + i), new Statement.Data(false, "READ x"));
      largeFleet.run(Duration.ofMillis(400));
    }

    assertThat(largeFleet.servers.sent()).hasSize(30);
  }

  /**
   * Guards against disconnected hosts that continue to spend tokens after other hosts have taken
   * these over.
   */
  @Test
  void shouldKeepTheLimitWhileHostsAreCutOff() {
    publishLimit();
    sendAndCountAdmitted(Duration.ofSeconds(2), 1);
    fixture.cutOff(fixture.hosts.get(0), true);
    fixture.cutOff(fixture.hosts.get(1), true);
    double tolerated = (RATE * 5 + RATE) * 1.1 + 20;

    assertThat(sendAndCountAdmitted(Duration.ofSeconds(5), 3)).isLessThanOrEqualTo((int) tolerated);
  }

  /**
   * Guards against tokens that are spent twice: after a relay failed, the hosts of the zone still
   * spend what it has lent them, while its successor takes tokens from the store.
   */
  @Test
  void shouldKeepTheLimitWhileTheRelayIsReplaced() {
    publishLimit();
    fixture.run(Duration.ofSeconds(3));
    double tolerated = (RATE * 5 + RATE) * 1.1 + 20;
    sendAndCountAdmitted(Duration.ofSeconds(1), 1);
    fixture.freeze(relay(), true);

    assertThat(sendAndCountAdmitted(Duration.ofSeconds(5), 3)).isLessThanOrEqualTo((int) tolerated);
  }

  /** Guards against a relay that still lends tokens from before its machine was suspended. */
  @Test
  void shouldKeepTheLimitWhenTheRelayResumes() {
    publishLimit();
    fixture.run(Duration.ofSeconds(3));
    sendAndCountAdmitted(Duration.ofSeconds(1), 1);
    double tolerated = (RATE * 5 + RATE) * 1.1 + 20;
    fixture.storeIsUp = false;
    fixture.stepWallClock(Duration.ofSeconds(8));
    fixture.run(Duration.ofMillis(200));

    assertThat(sendAndCountAdmitted(Duration.ofSeconds(1), 3)).isZero();

    fixture.storeIsUp = true;
    assertThat(sendAndCountAdmitted(Duration.ofSeconds(5), 3)).isLessThanOrEqualTo((int) tolerated);
  }

  /**
   * Guards against a restarted relay that takes back the tokens of its previous process while the
   * other hosts still spend them.
   */
  @Test
  void shouldKeepTheLimitWhileTheRelayIsRestarted() {
    publishLimit();
    fixture.run(Duration.ofSeconds(3));
    double tolerated = (RATE * 5 + RATE) * 1.1 + 20;
    int admitted = sendAndCountAdmitted(Duration.ofSeconds(1), 1);
    for (int i = 0; i < 4; i++) {
      fixture.restart(relay());
      fixture.run(Duration.ofMillis(200));
      admitted += sendAndCountAdmitted(Duration.ofSeconds(1), 3);
    }

    assertThat(admitted).isLessThanOrEqualTo((int) tolerated);
  }

  /** Guards against tokens of killed processes that count as held for seconds after a restart. */
  @Test
  void shouldAdmitSoonAfterAllHostsAreRestarted() {
    fixture.run(Duration.ofSeconds(3));
    sendAndCountAdmitted(Duration.ofSeconds(3), 1);
    List.copyOf(fixture.hosts).forEach(fixture::restart);
    fixture.run(Duration.ofMillis(1500));

    assertThat(sendAndCountAdmitted(Duration.ofSeconds(3), 1))
        .isGreaterThanOrEqualTo(HOSTS * 30 * 95 / 100);
  }

  /**
   * Guards against tokens that count both in the bucket and as held by hosts: after an idle period
   * both are full, and a burst spends the sum.
   */
  @Test
  void shouldKeepTheLimitInABurstAfterAnIdlePeriod() {
    publishLimit();
    for (Engine host : fixture.hosts) {
      fixture.open(host, RouteKind.PRIMARY, new FakeCaller());
    }
    fixture.run(Duration.ofSeconds(12));
    double tolerated = (RATE * 5 + RATE) * 1.1 + 20;

    assertThat(sendAndCountAdmitted(Duration.ofSeconds(5), 4)).isLessThanOrEqualTo((int) tolerated);
  }

  /** Guards against refusals for want of a token whose cause the log doesn't tell. */
  @Test
  void shouldLogWhatHappenedToTheTokens() {
    publishLimit();
    sendAndCountAdmitted(Duration.ofSeconds(6), 3);

    assertThat(fixture.events)
        .anyMatch(event -> event.startsWith("tokens-first-granted[sinceStartMs"))
        .anyMatch(
            event ->
                event.startsWith("tokens-summary[overMs")
                    && event.contains("taken")
                    && event.contains("unmet")
                    && event.contains("mostUnmet, " + EngineFixture.WORKSPACE));
  }

  private Engine relay() {
    return fixture.hosts.stream()
        .filter(host -> fixture.entry(host, EngineEntries.RELAY_ROLE).equals(RelayRole.RELAY))
        .findFirst()
        .orElseThrow();
  }

  /** Guards against refusing the operations of a workspace for which no limit is configured. */
  @Test
  void shouldAdmitOperationsOfAWorkspaceWithoutALimit() {
    fixture.publish(
        EngineFixture.configuration(
            2,
            Double.MAX_VALUE,
            Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    fixture.run(Duration.ofMillis(1500));
    sendAndCountAdmitted(Duration.ofSeconds(1), 1);

    assertThat(sendAndCountAdmitted(Duration.ofSeconds(3), 1))
        .isGreaterThanOrEqualTo(HOSTS * 30 * 99 / 100);
  }
}
