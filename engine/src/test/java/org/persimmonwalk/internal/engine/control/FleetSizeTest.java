package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.id.AvailabilityZone;

/** Tests the number of hosts, by which connections and tokens are divided. */
class FleetSizeTest {
  private static final int HOSTS = 30;
  private static final int ZONES = 3;

  private final EngineFixture fixture =
      new EngineFixture(HOSTS, ZONES, EngineSettingsFixture.USUAL_BOUNDS);

  /** Guards against hosts that each take the share of a larger or smaller fleet. */
  @Test
  void shouldCountTheHostsOfAllZones() {
    fixture.run(Duration.ofSeconds(6));

    assertThat(fixture.hosts)
        .allSatisfy(
            host ->
                assertThat(fixture.entry(host, EngineEntries.FLEET_SIZE))
                    .isBetween(HOSTS * 9 / 10, HOSTS));
  }

  /** Guards against hosts that are gone and still count. */
  @Test
  void shouldNotCountHostsThatAreGone() {
    fixture.run(Duration.ofSeconds(6));
    List<Engine> lost = fixture.hosts.subList(0, HOSTS / 2);
    lost.forEach(host -> fixture.freeze(host, true));
    fixture.run(Duration.ofSeconds(20));

    assertThat(fixture.hosts.subList(HOSTS / 2, HOSTS))
        .allSatisfy(
            host ->
                assertThat(fixture.entry(host, EngineEntries.FLEET_SIZE))
                    .isBetween(HOSTS * 4 / 10, HOSTS * 6 / 10));
  }

  /** Guards against a record that can't be read and is never written anew. */
  @Test
  void shouldReplaceARecordThatCannotBeRead() {
    fixture.run(Duration.ofSeconds(6));
    fixture.write(FleetSizeController.row(AvailabilityZone.of("a")), "ten");
    fixture.run(Duration.ofSeconds(8));

    assertThat(fixture.events).anyMatch(event -> event.startsWith("row-unreadable"));
    assertThat(fixture.entry(fixture.hosts.get(0), EngineEntries.FLEET_SIZE))
        .isBetween(HOSTS * 9 / 10, HOSTS);
  }
}
