package org.persimmonwalk.internal.control.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.testing.LeaseFleet;
import org.persimmonwalk.testing.LeaseHost;
import org.persimmonwalk.testing.RateExcessMeter;

/**
 * Guards against faults that let all hosts together exceed the rate or burst of a workspace, or
 * that leave its rate unused.
 */
class ShareSafetyTest {
  private static final WorkspaceId WORKSPACE = WorkspaceId.of("oil");
  private static final double RATE = 100;
  private static final double BURST = 40;
  private static final double ROUNDING = 1e-6;
  private static final Duration STEP = Duration.ofMillis(10);

  /** Short leases, so that many of them start and end during a run. */
  private static final LeaseSettings SETTINGS =
      new LeaseSettings(Duration.ofSeconds(60), Duration.ofSeconds(1));

  private final RateExcessMeter rateMeter = new RateExcessMeter(RATE);
  private LeaseFleet fleet;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void shouldNeverExceedRateAndBurstWhateverFails(long seed) {
    fleet = fleet(6, seed);
    fleet.store().setLostAnswerPercent(30);
    fleet.network().setFaultPercent(5);
    for (int second = 0; second < 300; second++) {
      injectFault();
      if (fleet.random().nextInt(4) > 0) {
        run(Duration.ofSeconds(1), fleet.hosts());
      } else {
        fleet.time().advance(Duration.ofSeconds(1));
      }
    }
    recover();
    long before = rateMeter.admitted();
    run(Duration.ofSeconds(20), fleet.hosts());
    assertThat(rateMeter.largestExcess()).isLessThanOrEqualTo(BURST + ROUNDING);
    assertThat(rateMeter.admitted() - before).isGreaterThan((long) (0.8 * RATE * 20));
  }

  @Test
  void shouldUseShareOfDeadHostOnlyAfterItsLeaseExpired() {
    fleet = fleet(2, 1);
    fleet.time().advance(Duration.ofSeconds(10));
    LeaseHost survivor = fleet.hosts().get(0);
    LeaseHost dead = fleet.hosts().get(1);
    fleet.kill(dead);

    for (int second = 0; second < 55; second++) {
      fleet.time().advance(Duration.ofSeconds(1));
      assertThat(rate(survivor)).isLessThanOrEqualTo(RATE / 2);
    }
    fleet.time().advance(Duration.ofSeconds(60));
    assertThat(rate(survivor)).isEqualTo(RATE);
  }

  @Test
  void shouldAdmitNothingAfterPauseBeyondLease() {
    fleet = fleet(2, 1);
    fleet.time().advance(Duration.ofSeconds(10));
    LeaseHost paused = fleet.hosts().get(0);
    assertThat(paused.admit(WORKSPACE)).isTrue();
    fleet.pause(paused, Duration.ofSeconds(200));
    fleet.time().advance(Duration.ofSeconds(199));
    assertThat(rate(fleet.hosts().get(1))).isEqualTo(RATE);

    fleet.time().advance(Duration.ofSeconds(1));
    assertThat(paused.admit(WORKSPACE)).isFalse();
  }

  @Test
  void shouldKeepSharesWhileStoreIsDown() {
    fleet = fleet(4, 1);
    fleet.time().advance(Duration.ofSeconds(30));
    fleet.store().setDown(true);
    fleet.time().advance(Duration.ofSeconds(25));

    assertThat(fleet.hosts().stream().mapToDouble(ShareSafetyTest::rate).sum())
        .isCloseTo(RATE, within(0.01));
  }

  @Test
  void shouldMoveShareToHostWithDemandWithoutStore() {
    fleet = fleet(4, 1);
    fleet.time().advance(Duration.ofSeconds(5));
    fleet.store().setDown(true);
    LeaseHost busy = fleet.hosts().get(0);
    run(Duration.ofSeconds(10), List.of(busy));

    assertThat(rate(busy)).isGreaterThan(0.8 * RATE);
    assertThat(rateMeter.largestExcess()).isLessThanOrEqualTo(BURST + ROUNDING);
  }

  @Test
  void shouldReturnShareOnPlannedStop() {
    fleet = fleet(2, 1);
    fleet.time().advance(Duration.ofSeconds(5));
    LeaseHost leaving = fleet.hosts().get(0);
    leaving.stop();
    fleet.time().advance(Duration.ofSeconds(2));
    assertThat(rate(leaving)).isZero();

    LeaseHost next = fleet.join();
    fleet.kill(leaving);
    fleet.time().advance(Duration.ofSeconds(6));
    assertThat(rate(next)).isGreaterThan(RATE / 4);
  }

  private void injectFault() {
    int choice = fleet.random().nextInt(40);
    LeaseHost host = fleet.hosts().get(fleet.random().nextInt(fleet.hosts().size()));
    if (choice == 0 && fleet.hosts().size() > 3) {
      fleet.kill(host);
    } else if (choice == 1 && fleet.hosts().size() < 9) {
      fleet.join();
    } else if (choice == 2) {
      fleet.pause(host, Duration.ofSeconds(fleet.random().nextInt(100)));
    } else if (choice == 3) {
      fleet.store().setDown(fleet.random().nextInt(2) == 0);
    } else if (choice == 4) {
      fleet.network().setPartitioned(fleet.random().nextInt(2) == 0);
    } else if (choice == 5 && fleet.hosts().size() > 3) {
      fleet.stop(host);
    }
  }

  /** Ends all faults and runs until the leases of dead hosts have expired. */
  private void recover() {
    fleet.store().setDown(false);
    fleet.store().setLostAnswerPercent(0);
    fleet.network().setFaultPercent(0);
    fleet.network().setPartitioned(false);
    run(Duration.ofSeconds(240), fleet.hosts());
  }

  /**
   * Sends more statements to the given hosts than the workspace's rate allows, most to the first.
   */
  private void run(Duration span, List<LeaseHost> loaded) {
    for (long step = 0; step < span.dividedBy(STEP); step++) {
      fleet.time().advance(STEP);
      for (LeaseHost host : loaded) {
        int statements = fleet.random().nextInt(host.equals(loaded.get(0)) ? 5 : 2);
        for (int i = 0; i < statements; i++) {
          if (host.admit(WORKSPACE)) {
            rateMeter.recordAdmission(fleet.time().now());
          }
        }
      }
    }
  }

  private static double rate(LeaseHost host) {
    return host.snapshot().get(Entries.SHARES).get(WORKSPACE).rate();
  }

  private static LeaseFleet fleet(int size, long seed) {
    Workspace workspace = Workspace.of(WORKSPACE, RATE, BURST, Set.of());
    Configuration configuration =
        new Configuration(
            Revision.of(1),
            ReleaseNoteId.of("first"),
            Map.of(WORKSPACE, workspace),
            Map.of(),
            Map.of());
    return new LeaseFleet(size, SETTINGS, configuration, seed);
  }
}
