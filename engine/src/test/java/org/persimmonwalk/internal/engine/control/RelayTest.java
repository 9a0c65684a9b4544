package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.internal.engine.traffic.Session;

/** Tests that one host, the relay, calls the store for all hosts of its zone. */
class RelayTest {
  private static final int HOSTS = 7;
  private static final Duration KEY_REVOCATION_LIMIT = Duration.ofMillis(4500);

  private final EngineFixture fixture = new EngineFixture(HOSTS);

  @BeforeEach
  void waitForARelay() {
    fixture.run(Duration.ofSeconds(3));
  }

  private List<Engine> hostsIn(RelayRole.Kind kind) {
    return fixture.hosts.stream()
        .filter(host -> fixture.entry(host, EngineEntries.RELAY_ROLE).kind() == kind)
        .toList();
  }

  private Engine relay() {
    return hostsIn(RelayRole.Kind.RELAY).get(0);
  }

  private Duration verifiedAge(Engine host) {
    return fixture.clock.now().since(fixture.entry(host, EngineEntries.VERIFIED_AT).orElseThrow());
  }

  /** Guards against store calls that grow with the number of hosts in a zone. */
  @Test
  void shouldCallTheStoreOnceForTheWholeZone() {
    int before = fixture.storeCalls;
    fixture.run(Duration.ofSeconds(10));

    assertThat(hostsIn(RelayRole.Kind.RELAY)).hasSize(1);
    assertThat(hostsIn(RelayRole.Kind.CLIENT)).hasSize(HOSTS - 1);
    assertThat(fixture.storeCalls - before).isLessThanOrEqualTo(10 * 3);
    fixture.hosts.forEach(
        host -> assertThat(verifiedAge(host)).isLessThan(Duration.ofMillis(1900)));
  }

  /** Guards against a new configuration that only the relay gets. */
  @Test
  void shouldForwardANewConfiguration() {
    fixture.publish(EngineFixture.configuration(2, 100, Map.of()));
    fixture.run(Duration.ofMillis(2000));

    fixture.hosts.forEach(
        host ->
            assertThat(fixture.entry(host, EngineEntries.CONFIGURATION).version()).isEqualTo(2));
  }

  /** Guards against a list that the relay sends to all hosts again each time it reads it. */
  @Test
  void shouldNotSendTheListAgainWhileAColdTimeCountsDown() {
    BackendServerId cold = BackendServerId.of("s2");
    ServerEntry warm = fixture.entries.get(cold);
    fixture.entries.put(cold, warm.withColdLeft(Duration.ofSeconds(20)));
    fixture.run(Duration.ofSeconds(3));
    long revision = revision(relay());
    for (int left = 17; left > 0; left -= 2) {
      fixture.entries.put(cold, warm.withColdLeft(Duration.ofSeconds(left)));
      fixture.run(Duration.ofSeconds(2));
    }
    fixture.hosts.forEach(host -> assertThat(revision(host)).isEqualTo(revision));

    fixture.entries.put(cold, warm);
    fixture.run(Duration.ofSeconds(3));

    assertThat(revision(relay())).isNotEqualTo(revision);
    fixture.hosts.forEach(
        host ->
            assertThat(fixture.entry(host, EngineEntries.SERVERS).get(cold).reportsCold())
                .isFalse());
  }

  private long revision(Engine host) {
    return fixture.entry(host, EngineEntries.SERVER_LIST_VERSION).orElseThrow().revision();
  }

  /** Guards against requests to a draining server later than 7 s after it announced draining. */
  @Test
  void shouldTellAllHostsThatAServerDrains() {
    ServerEntry leaving = fixture.entries.get(BackendServerId.of("s2"));
    fixture.entries.put(
        leaving.id(),
        new ServerEntry(
            leaving.id(),
            leaving.group(),
            leaving.endpoint(),
            leaving.zone(),
            leaving.slots(),
            true,
            false,
            leaving.startedAtMillis()));
    fixture.run(Duration.ofMillis(4000));

    fixture.hosts.forEach(
        host ->
            assertThat(fixture.entry(host, EngineEntries.SERVERS).get(leaving.id()).draining())
                .isTrue());
  }

  /** Guards against a zone whose hosts all lose their verification when the relay fails. */
  @Test
  void shouldReplaceAFailedRelay() {
    Engine failedRelay = relay();
    fixture.freeze(failedRelay, true);
    for (int i = 0; i < 40; i++) {
      fixture.run(Duration.ofMillis(100));
      fixture.hosts.stream()
          .filter(host -> host != failedRelay)
          .forEach(host -> assertThat(verifiedAge(host)).isLessThan(Duration.ofMillis(2200)));
    }

    assertThat(hostsIn(RelayRole.Kind.RELAY)).hasSize(2).contains(failedRelay);
    assertThat(hostsIn(RelayRole.Kind.DIRECT)).isEmpty();
  }

  /** Guards against hosts that keep using a relay that has lost the store. */
  @Test
  void shouldReplaceARelayThatHasLostTheStore() {
    Engine disconnectedRelay = relay();
    fixture.cutOff(disconnectedRelay, true);
    fixture.run(Duration.ofSeconds(6));

    fixture.hosts.stream()
        .filter(host -> host != disconnectedRelay)
        .forEach(host -> assertThat(verifiedAge(host)).isLessThan(Duration.ofMillis(1900)));
  }

  /** Guards against a verification that appears younger at a host than it is at the relay. */
  @Test
  void shouldForwardTheAgeOfTheRelaysOwnCall() {
    fixture.storeIsUp = false;
    fixture.run(Duration.ofSeconds(5));
    Session session = fixture.open(fixture.hosts.get(0), RouteKind.PRIMARY, new FakeCaller());
    fixture.send(session, "late", new Statement.Data(false, "READ x"));

    fixture.hosts.forEach(
        host -> assertThat(verifiedAge(host)).isGreaterThan(KEY_REVOCATION_LIMIT));
    assertThat(fixture.servers.sent()).isEmpty();
  }

  /** Guards against hosts that flood the store with calls during an outage. */
  @Test
  void shouldPauseBetweenFailedCalls() {
    fixture.storeIsUp = false;
    int before = fixture.storeCalls;
    fixture.run(Duration.ofSeconds(10));

    assertThat(fixture.storeCalls - before).isLessThanOrEqualTo(HOSTS * 10 * 5);
  }

  /** Guards against a flood of calls during an outage while operations wait for tokens. */
  @Test
  void shouldPauseBetweenFailedCallsForTokens() {
    fixture.publish(
        EngineFixture.configuration(
            2, 4, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    fixture.run(Duration.ofSeconds(2));
    List<Session> sessions =
        fixture.hosts.stream()
            .map(host -> fixture.open(host, RouteKind.PRIMARY, new FakeCaller()))
            .toList();
    fixture.storeIsUp = false;
    int before = fixture.storeCalls;
    for (int i = 0; i < 60; i++) {
      for (Session session : sessions) {
        session.receive(RequestId.of("q" + i), new Statement.Data(false, "READ x"));
      }
      fixture.run(Duration.ofMillis(100));
    }

    assertThat(fixture.storeCalls - before).isLessThanOrEqualTo(HOSTS * 6 * 5);
  }

  /** Guards against hosts that lose their verification because they can't reach their peers. */
  @Test
  void shouldCallTheStoreItselfWhenThePeersCannotBeReached() {
    fixture.peersAreReachable = false;
    fixture.run(Duration.ofSeconds(10));

    fixture.hosts.forEach(
        host -> assertThat(verifiedAge(host)).isLessThan(Duration.ofMillis(2200)));
  }

  /** Guards against a role that keeps changing between hosts that can't reach each other. */
  @Test
  void shouldBackOffFromClaimingTheRoleWhenItIsLostRepeatedly() {
    fixture.peersAreReachable = false;
    fixture.run(Duration.ofSeconds(60));
    long before = relayChanges();
    fixture.run(Duration.ofSeconds(30));

    assertThat(relayChanges() - before).isLessThanOrEqualTo(HOSTS * 30L);
  }

  /**
   * Guards against refusing operations within the limit while the store rejects the relay's calls:
   * the relay's tokens run out before it is replaced.
   */
  @Test
  void shouldAdmitOperationsWhileTheStoreRefusesTheRelay() {
    Engine disconnectedRelay = relay();
    Engine other =
        fixture.hosts.stream().filter(host -> host != disconnectedRelay).findFirst().orElseThrow();
    fixture.publish(
        EngineFixture.configuration(
            2, 14, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    fixture.run(Duration.ofSeconds(2));
    Session session = fixture.open(other, RouteKind.PRIMARY, new FakeCaller());
    for (int i = 0; i < 40; i++) {
      fixture.send(session, "before" + i, new Statement.Data(false, "READ x"));
    }
    fixture.cutOff(disconnectedRelay, true);
    int before = fixture.servers.sent().size();
    for (int i = 0; i < 40; i++) {
      fixture.send(session, "after" + i, new Statement.Data(false, "READ x"));
    }

    assertThat(fixture.servers.sent().size() - before).isEqualTo(40);
  }

  private long relayChanges() {
    return fixture.events.stream().filter(event -> event.startsWith("relay-changed")).count();
  }

  /** Guards against refusing operations at the other hosts of the zone when the relay fails. */
  @Test
  void shouldServeOperationsWhileTheRelayIsReplaced() {
    Engine failedRelay = relay();
    Engine other =
        fixture.hosts.stream().filter(host -> host != failedRelay).findFirst().orElseThrow();
    Session session = fixture.open(other, RouteKind.PRIMARY, new FakeCaller());
    for (int i = 0; i < 20; i++) {
      fixture.send(session, "before" + i, new Statement.Data(false, "READ x"));
    }
    fixture.freeze(failedRelay, true);
    int before = fixture.servers.sent().size();
    for (int i = 0; i < 30; i++) {
      fixture.send(session, "after" + i, new Statement.Data(false, "READ x"));
    }

    assertThat(fixture.servers.sent().size() - before).isEqualTo(30);
  }
}
