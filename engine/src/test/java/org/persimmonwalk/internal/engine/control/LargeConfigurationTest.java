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
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.internal.engine.traffic.Session;
import org.persimmonwalk.model.MonotonicTime;

/** Plays hosts whose links carry an answer with the configuration in 1.55 s, longer than a call. */
class LargeConfigurationTest {
  /** 290 KB, as base64 text, over 2 Mbit/s. */
  private static final Duration TRANSFER = Duration.ofMillis(1550);

  private static final Duration APPLY = EngineSettingsFixture.USUAL_BOUNDS.configurationApply();
  private static final Duration STEP = Duration.ofMillis(50);
  private static final int ZONES = 2;
  private static final int STATEMENTS_PER_HOST = 25;

  private final EngineFixture fixture =
      new EngineFixture(6, ZONES, EngineSettingsFixture.USUAL_BOUNDS, StoreEra.of(1));

  private static RoutingConfiguration configuration(long version) {
    return EngineFixture.configuration(
        version, 100, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE));
  }

  private long version(Engine host) {
    return fixture.entry(host, EngineEntries.CONFIGURATION).version();
  }

  private boolean isRelay(Engine host) {
    return fixture.entry(host, EngineEntries.RELAY_ROLE).equals(RelayRole.RELAY);
  }

  private Engine relay() {
    return fixture.hosts.stream().filter(this::isRelay).findFirst().orElseThrow();
  }

  private int transfers() {
    return fixture.link.transfersStarted.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Lets the zones choose their relays, and then makes the links small. */
  private void settle() {
    fixture.run(Duration.ofSeconds(6));
    fixture.link.configurationTransfer = TRANSFER;
  }

  /** Runs until the relays have begun to receive the configuration. */
  private void runIntoTransfer() {
    while (transfers() < ZONES) {
      fixture.run(STEP);
    }
    fixture.run(Duration.ofMillis(500));
  }

  /**
   * Guards against a configuration that no host ever has, because each call that would bring it is
   * given up on the way.
   */
  @Test
  void shouldPutALargeConfigurationInForceWithinTheBound() {
    settle();
    for (int version = 5; version < 25; version++) {
      fixture.publish(configuration(version));
      fixture.run(APPLY);

      long expected = version;
      assertThat(fixture.hosts).allMatch(host -> version(host) == expected);
      // Moves the next publication within the interval of the verifications.
      fixture.run(Duration.ofMillis(130));
    }
  }

  /** Guards against hosts that verify nothing, and refuse everything, during a long transfer. */
  @Test
  void shouldStayReadyDuringTheTransfer() {
    settle();
    fixture.publish(configuration(5));
    for (int i = 0; i < 100; i++) {
      fixture.run(STEP);
      assertThat(fixture.hosts).allMatch(host -> host.sessions().isReady());
    }
  }

  /** Guards against each host, or each verification, reading the configuration from the store. */
  @Test
  void shouldReadTheConfigurationOnceForEachZone() {
    settle();
    int calls = fixture.transactions.calls;
    fixture.run(Duration.ofSeconds(5));
    int callsBefore = fixture.transactions.calls - calls;
    fixture.publish(configuration(5));
    fixture.run(Duration.ofSeconds(5));
    int callsDuring = fixture.transactions.calls - calls - callsBefore;
    fixture.run(Duration.ofSeconds(5));
    int callsAfter = fixture.transactions.calls - calls - callsBefore - callsDuring;

    assertThat(transfers()).isEqualTo(ZONES);
    assertThat(callsDuring - callsBefore).isLessThanOrEqualTo(2 * ZONES);
    assertThat(callsAfter).isLessThanOrEqualTo(callsBefore);
  }

  /**
   * Guards against vouching for keys that the newer configuration may withdraw, or using its
   * primaries after the bound, on a link that is too small to ever bring it.
   */
  @Test
  void shouldRefuseAfterTheBoundIfTheConfigurationDoesNotArrive() {
    settle();
    fixture.link.configurationTransfer = Duration.ofMinutes(1);
    fixture.publish(configuration(5));
    MonotonicTime publishedAt = fixture.clock.now();
    fixture.run(APPLY.plus(Duration.ofMillis(100)));

    assertThat(fixture.hosts).noneMatch(host -> host.sessions().isReady());
    fixture.run(Duration.ofSeconds(20));
    for (Engine host : fixture.hosts) {
      assertThat(fixture.entry(host, EngineEntries.KEYS_VERIFIED_AT).orElseThrow())
          .isLessThanOrEqualTo(publishedAt);
      assertThat(fixture.entry(host, EngineEntries.CONFIGURATION_VERIFIED_AT).orElseThrow())
          .isLessThanOrEqualTo(publishedAt);
      assertThat(fixture.clock.now().since(fixture.entry(host, EngineEntries.VERIFIED_AT).get()))
          .isLessThan(EngineTimings.VERIFICATION_VALIDITY);
    }
  }

  /** Guards against a zone that waits for a relay that has died while it received. */
  @Test
  void shouldApplyTheConfigurationAfterTheRelayDies() {
    settle();
    fixture.publish(configuration(5));
    runIntoTransfer();
    Engine dead = relay();
    fixture.freeze(dead, true);
    fixture.run(Duration.ofSeconds(4));

    assertThat(fixture.hosts).allMatch(host -> host == dead || version(host) == 5);
  }

  /** Guards against going back to the version whose transfer began first. */
  @Test
  void shouldApplyAVersionThatAppearsDuringTheTransfer() {
    settle();
    fixture.publish(configuration(5));
    runIntoTransfer();
    fixture.publish(configuration(6));
    long[] newest = new long[fixture.hosts.size()];
    for (int i = 0; i < 80; i++) {
      fixture.run(STEP);
      for (int host = 0; host < newest.length; host++) {
        long current = version(fixture.hosts.get(host));
        assertThat(current).isGreaterThanOrEqualTo(newest[host]);
        newest[host] = current;
      }
    }

    assertThat(newest).containsOnly(6);
  }

  /** Guards against waiting for ever for the rest of an answer of a store that has gone away. */
  @Test
  void shouldReadTheConfigurationAgainAfterTheStoreWasAway() {
    settle();
    fixture.publish(configuration(5));
    runIntoTransfer();
    fixture.storeIsUp = false;
    fixture.link.isStalled = true;
    fixture.run(Duration.ofSeconds(2));
    fixture.storeIsUp = true;
    fixture.link.isStalled = false;
    fixture.run(Duration.ofSeconds(4));

    assertThat(fixture.hosts).allMatch(host -> version(host) == 5);
    assertThat(fixture.hosts).allMatch(host -> host.sessions().isReady());
  }

  /**
   * Guards against applying, or waiting for, the answer of an earlier era, and against vouching for
   * keys before the operator has written again what the store has lost.
   */
  @Test
  void shouldApplyTheConfigurationAfterTheStoreCameBackFromACopy() {
    settle();
    fixture.publish(configuration(5));
    runIntoTransfer();
    MonotonicTime lostAt = fixture.clock.now();
    fixture.loseStoreToCopy(Duration.ofSeconds(2), Duration.ofMillis(300), Duration.ofSeconds(2));
    fixture.run(Duration.ofMillis(2200));
    assertThat(fixture.hosts)
        .allMatch(
            host ->
                fixture.entry(host, EngineEntries.KEYS_VERIFIED_AT).orElseThrow().isBefore(lostAt));
    fixture.run(Duration.ofSeconds(8));

    assertThat(fixture.hosts).allMatch(host -> version(host) == 5);
    assertThat(fixture.hosts).allMatch(host -> host.sessions().isReady());
  }

  /** Guards against a host whose relay's reply with the configuration is late or lost. */
  @Test
  void shouldApplyTheConfigurationAlthoughRepliesAreLate() {
    settle();
    fixture.publish(configuration(5));
    runIntoTransfer();
    fixture.peersAreReachable = false;
    fixture.run(Duration.ofMillis(1500));
    fixture.peersAreReachable = true;
    fixture.run(Duration.ofSeconds(3));

    assertThat(fixture.hosts).allMatch(host -> version(host) == 5);
  }

  /** Sends statements at all hosts for 5 s, 30 a second; returns how many reach a server. */
  private int send() {
    List<Session> sessions = new ArrayList<>();
    fixture.hosts.forEach(
        host -> sessions.add(fixture.open(host, RouteKind.PRIMARY, new FakeCaller())));
    fixture.run(Duration.ofSeconds(1));
    int before = fixture.servers.sent().size();
    for (int i = 0; i < STATEMENTS_PER_HOST; i++) {
      sessions.forEach(
          session -> session.receive(RequestId.of("q"), new Statement.Data(false, "READ x")));
      fixture.run(Duration.ofMillis(200));
    }
    return fixture.servers.sent().size() - before;
  }

  /** Guards against calls for tokens that wait for the configuration, so that tokens run out. */
  @Test
  void shouldAdmitOperationsDuringTheTransfer() {
    settle();
    fixture.scheduler.schedule(Duration.ofMillis(1500), () -> fixture.publish(configuration(5)));

    assertThat(send()).isEqualTo(STATEMENTS_PER_HOST * fixture.hosts.size());
    assertThat(fixture.hosts).allMatch(host -> version(host) == 5);
  }

  /**
   * Guards against a link that carries the same configuration again and again, each time that a
   * rate row has changed, in front of a store that sends all expected rows.
   */
  @Test
  void shouldNotReadTheConfigurationWithEachChangeOfAnotherRow() {
    settle();
    fixture.link.sendsUnchangedRows = true;
    fixture.publish(configuration(5));
    fixture.run(Duration.ofSeconds(4));
    send();
    int before = transfers();

    assertThat(send()).isEqualTo(STATEMENTS_PER_HOST * fixture.hosts.size());
    assertThat(transfers() - before).isLessThanOrEqualTo(ZONES);
  }

  /**
   * Guards against tokens by a limit that was lowered: a relay whose link never brings the lower
   * one must not lend by the higher one after the bound.
   */
  @Test
  void shouldTakeNoTokensAfterTheBoundIfTheConfigurationDoesNotArrive() {
    settle();
    send();
    fixture.link.configurationTransfer = Duration.ofMinutes(1);
    fixture.publish(configuration(5));
    fixture.run(APPLY.plus(Duration.ofMillis(100)));
    StoredRow before = fixture.rows.get(RateRow.key(EngineFixture.WORKSPACE));
    fixture.run(Duration.ofSeconds(10));

    assertThat(fixture.rows.get(RateRow.key(EngineFixture.WORKSPACE))).isEqualTo(before);
  }
}
