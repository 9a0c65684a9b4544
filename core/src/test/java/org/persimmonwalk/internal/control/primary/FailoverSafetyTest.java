package org.persimmonwalk.internal.control.primary;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.persimmonwalk.acknowledgement.ImmediateAcknowledgement;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FailoverFleet;
import org.persimmonwalk.testing.FailoverHost;
import org.persimmonwalk.testing.FakeLinks;

/** Guards against failovers under random faults that lose acknowledged writes. */
class FailoverSafetyTest {
  private static final List<String> SERVERS = List.of("a", "b", "c");

  @ParameterizedTest
  @CsvSource({"3, 20", "5, 6"})
  void shouldKeepAcknowledgedWritesThroughFailovers(int size, int seeds) {
    int failovers = 0;
    for (long seed = 0; seed < seeds; seed++) {
      FailoverFleet fleet = FailoverFleet.standard(size, seed);
      injectFaults(fleet, RandomSource.seeded(seed));
      repairAll(fleet);

      String description = "seed " + seed;
      assertThat(fleet.lostWrites()).as(description).isEmpty();
      assertThat(fleet.acknowledged())
          .as(description)
          .noneMatch(FailoverFleet.AcknowledgedWrite::committedByReplacedPrimary)
          .anyMatch(entry -> entry.term().equals(fleet.database().term()));
      failovers += fleet.database().promotions();
    }
    assertThat(failovers).isGreaterThan(seeds);
  }

  /**
   * The same faults must lose writes if these are acknowledged at once; otherwise they would not
   * exercise the check of the other test.
   */
  @Test
  void shouldLoseWritesWhenAcknowledgedAtOnce() {
    int lost = 0;
    for (long seed = 0; seed < 10; seed++) {
      FailoverFleet fleet =
          FailoverFleet.of(
              3,
              seed,
              FailoverFleet::controllers,
              host -> ImmediateAcknowledgement.create(),
              Duration.ofMillis(20));
      injectFaults(fleet, RandomSource.seeded(seed));
      repairAll(fleet);
      lost += fleet.lostWrites().size();
    }
    assertThat(lost).isPositive();
  }

  /** Every 0.5 to 2.5 s, a server, a link, a host or the platform fails or recovers. */
  private static void injectFaults(FailoverFleet fleet, RandomSource random) {
    fleet.time().advance(Duration.ofSeconds(1));
    for (int step = 0; step < 20; step++) {
      String server = SERVERS.get(random.nextInt(SERVERS.size()));
      String other = SERVERS.get(random.nextInt(SERVERS.size()));
      FailoverHost host = fleet.hosts().get(random.nextInt(fleet.hosts().size()));
      switch (random.nextInt(8)) {
        case 0 -> fleet.database().stop(fleet.database().primary().orElse(server));
        case 1 -> fleet.links().isolate(fleet.database().primary().orElse(server));
        case 2 -> fleet.database().start(server);
        case 3 -> fleet.links().heal(server);
        case 4 -> host.pause();
        case 5 -> fleet.hosts().forEach(FailoverHost::resume);
        case 6 -> fleet.links().setLatency(host.id().value(), other, Duration.ofMillis(700));
        default -> fleet.links().isolate(FakeLinks.PLATFORM);
      }
      fleet.time().advance(Duration.ofMillis(500 + random.nextInt(2000)));
    }
  }

  private static void repairAll(FailoverFleet fleet) {
    fleet.links().heal(FakeLinks.PLATFORM);
    fleet.hosts().forEach(FailoverHost::resume);
    for (String server : SERVERS) {
      fleet.database().start(server);
      fleet.links().heal(server);
    }
    fleet.time().advance(Duration.ofSeconds(15));
  }
}
