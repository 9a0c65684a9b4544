package org.persimmonwalk.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import org.junit.jupiter.api.Test;

class AdaptiveLimitTest {
  private static final Duration SERVICE = Duration.ofMillis(10);

  /** Guards against a first host that keeps a larger share, and against an oscillating limit. */
  @Test
  void shouldConvergeToEqualSharesWithoutOscillation() {
    List<AdaptiveLimit> hosts = new ArrayList<>();
    AdaptiveLimit first = AdaptiveLimit.of(50);
    recordAnswers(List.of(first), 3, 3_000);
    assertThat(first.slots()).isBetween(2.5, 4.5);
    hosts.add(first);
    for (int host = 1; host < 20; host++) {
      hosts.add(AdaptiveLimit.of(50));
    }

    recordAnswers(hosts, 3, 3_000);

    DoubleSummaryStatistics total = new DoubleSummaryStatistics();
    for (int step = 0; step < 1_000; step++) {
      recordAnswers(hosts, 3, 1);
      total.accept(slots(hosts));
    }
    assertThat(total.getMin()).isBetween(3.0, 4.5);
    assertThat(total.getMax()).isBetween(3.0, 4.8);
    assertThat(hosts).allSatisfy(host -> assertThat(host.slots()).isBetween(0.14, 0.26));
  }

  /** Guards against a limit that stays low after an overload. */
  @Test
  void shouldRiseToOneStatementWhenTheServerIsIdle() {
    AdaptiveLimit limit = AdaptiveLimit.of(50);
    for (int answer = 0; answer < 2_000; answer++) {
      limit.record(SERVICE.multipliedBy(5), SERVICE, true);
    }
    assertThat(limit.spacing(SERVICE)).isGreaterThan(SERVICE);
    for (int answer = 0; answer < 2_000; answer++) {
      limit.record(SERVICE, SERVICE, false);
    }

    assertThat(limit.limit()).isEqualTo(1);
    assertThat(limit.spacing(SERVICE)).isZero();
  }

  /** Records answers of a server on which statements beyond its slots wait. */
  private static void recordAnswers(List<AdaptiveLimit> hosts, int serverSlots, int rounds) {
    for (int round = 0; round < rounds; round++) {
      double load = Math.max(1, slots(hosts) / serverSlots);
      Duration duration = Duration.ofNanos((long) (SERVICE.toNanos() * load));
      hosts.forEach(host -> host.record(duration, SERVICE, true));
    }
  }

  private static double slots(List<AdaptiveLimit> hosts) {
    return hosts.stream().mapToDouble(AdaptiveLimit::slots).sum();
  }
}
