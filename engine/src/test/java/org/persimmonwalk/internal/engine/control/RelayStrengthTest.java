package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.HostStrength;
import org.persimmonwalk.engine.control.RelayClaim;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.SocketEndpoint;

/** Plays zones of uneven machines: some with 1.5 cores and 200 Mbit/s, most with a quarter. */
class RelayStrengthTest {
  private static final int ZONES = 3;
  private static final int HOSTS = 18;
  private static final HostStrength STRONG = HostStrength.of(1.5, 200);
  private static final HostStrength WEAK = HostStrength.of(0.25, 10);

  private static EngineFixture fixture(int firstStrong, int lastStrong) {
    return EngineFixture.ofStrengths(
        HOSTS,
        ZONES,
        EngineSettingsFixture.USUAL_BOUNDS,
        StoreEra.UNKNOWN,
        number -> Optional.of(number >= firstStrong && number <= lastStrong ? STRONG : WEAK));
  }

  private static boolean isRelay(EngineFixture fixture, int number) {
    return fixture.entry(fixture.hosts.get(number), EngineEntries.RELAY_ROLE) == RelayRole.RELAY;
  }

  private static long relayChanges(EngineFixture fixture) {
    return fixture.events.stream().filter(event -> event.startsWith("relay-changed")).count();
  }

  /** Guards against a relay with a quarter of a core where the zone has a host with 1.5. */
  @Test
  void shouldMakeTheStrongHostOfEachZoneItsRelay() {
    EngineFixture fixture = fixture(15, 17);
    fixture.run(Duration.ofSeconds(3));

    assertThat(isRelay(fixture, 15)).isTrue();
    assertThat(isRelay(fixture, 16)).isTrue();
    assertThat(isRelay(fixture, 17)).isTrue();
  }

  /** Guards against a zone without a relay because none of its hosts is strong. */
  @Test
  void shouldMakeAWeakHostTheRelayIfThereIsNoOther() {
    EngineFixture fixture = fixture(HOSTS, HOSTS);
    fixture.run(Duration.ofSeconds(3));

    assertThat(fixture.hosts)
        .filteredOn(host -> fixture.entry(host, EngineEntries.RELAY_ROLE) == RelayRole.RELAY)
        .hasSize(ZONES);
  }

  /** Guards against a weak relay that stays because it started before the strong host. */
  @Test
  void shouldReplaceAMuchWeakerRelayOnce() {
    EngineFixture fixture = fixture(0, 0);
    Engine strong = fixture.hosts.get(0);
    fixture.freeze(strong, true);
    fixture.run(Duration.ofSeconds(8));
    assertThat(isRelay(fixture, 0)).isFalse();
    fixture.freeze(strong, false);
    fixture.run(Duration.ofSeconds(13));
    assertThat(isRelay(fixture, 0)).isTrue();

    long before = relayChanges(fixture);
    fixture.run(Duration.ofSeconds(30));
    assertThat(relayChanges(fixture)).isEqualTo(before);
  }

  /** Guards against a role that changes between hosts of equal strength. */
  @Test
  void shouldKeepARelayThatIsNotMuchWeaker() {
    EngineFixture fixture = fixture(0, HOSTS);
    fixture.run(Duration.ofSeconds(3));
    long before = relayChanges(fixture);
    fixture.run(Duration.ofSeconds(30));

    assertThat(relayChanges(fixture)).isEqualTo(before);
  }

  /** Guards against a relay row whose strength is lost, or that an older build wrote. */
  @Test
  void shouldReadTheRelayRowOfEachBuild() {
    RelayHost relay = new RelayHost(EntryHostId.of("h1"), SocketEndpoint.of("10.0.0.1", 7));
    RelayClaim withStrength = new RelayClaim(relay, Optional.of(WEAK));
    RelayClaim without = new RelayClaim(relay, Optional.empty());

    assertThat(RelayClaim.parse(withStrength.text())).contains(withStrength);
    assertThat(RelayClaim.parse(without.text())).contains(without);
    assertThat(RelayClaim.parse(relay.text() + " 101")).isEmpty();
  }
}
