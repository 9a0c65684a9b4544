package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.LONG_LOG_REPLICA;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.PRIMARY;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.SHORT_LOG_REPLICA;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.OrderPromotion;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.control.ServerUnreachable;
import org.persimmonwalk.engine.testing.EngineFixture;

class PromotionTest {
  private final PromotionScenario scenario = new PromotionScenario();
  private final EngineFixture fixture = scenario.fixture;

  @Test
  void shouldPromoteTheReplicaWithTheLongestLogAtAllHosts() {
    scenario.reportUnreachable(4);
    fixture.run(Duration.ofSeconds(7));

    assertThat(fixture.promotions).hasSize(1);
    assertThat(fixture.promotions.get(0).server().id()).isEqualTo(LONG_LOG_REPLICA);
    assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }

  /** Guards against a promotion because the network links of one or two hosts fail. */
  @Test
  void shouldNotPromoteWhenOnlyTwoHostsReportThePrimary() {
    scenario.reportUnreachable(2);
    fixture.run(Duration.ofSeconds(7));

    assertThat(fixture.promotions).isEmpty();
  }

  /** Guards against promoting while a disconnected host may still use the old primary. */
  @Test
  void shouldWaitUntilNoHostCanUseTheOldPrimary() {
    fixture.cutOff(fixture.hosts.get(3), true);
    fixture.peersAreReachable = false;
    scenario.reportUnreachable(3);
    long waitedMillis = 0;
    while (fixture.promotions.isEmpty() && waitedMillis < 10_000) {
      fixture.run(Duration.ofMillis(50));
      waitedMillis += 50;
    }

    assertThat(fixture.promotions).isNotEmpty();
    assertThat(scenario.isVerified(fixture.hosts.get(3))).isFalse();
  }

  /** Guards against a host that learns of the replacement from its relay too late or not at all. */
  @Test
  void shouldStopUsingTheOldPrimaryAtHostsBehindTheRelay() {
    fixture.cutOff(fixture.hosts.get(3), true);
    scenario.reportUnreachable(3);
    long waitedMillis = 0;
    while (fixture.promotions.isEmpty() && waitedMillis < 10_000) {
      fixture.run(Duration.ofMillis(50));
      waitedMillis += 50;
    }

    assertThat(fixture.promotions).isNotEmpty();
    assertThat(fixture.hosts)
        .noneMatch(host -> PRIMARY.equals(scenario.primaryOf(host)) && scenario.isVerified(host));
  }

  /** Guards against a replacement that stays unfinished when the host that announced it dies. */
  @Test
  void shouldFinishTheReplacementAfterItsHostDied() {
    scenario.reportUnreachable(4);
    fixture.run(Duration.ofMillis(800));
    Engine dead = fixture.hosts.remove(0);
    fixture.run(Duration.ofSeconds(9));

    assertThat(dead).isNotNull();
    assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }

  /** Guards against fencing tokens that fall or repeat over several promotions. */
  @Test
  void shouldRaiseTheFencingTokenWithEachPromotion() {
    scenario.reportUnreachable(4);
    fixture.run(Duration.ofSeconds(7));
    fixture.statuses.put(
        LONG_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(4, 1)));
    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(4, 2)));
    ServerEntry second = fixture.entries.get(LONG_LOG_REPLICA);
    fixture.hosts.forEach(host -> host.loop().post(new ServerUnreachable(second)));
    fixture.run(Duration.ofSeconds(7));

    assertThat(fixture.promotions).hasSizeGreaterThanOrEqualTo(2);
    assertThat(fixture.promotions)
        .extracting(OrderPromotion::fencingToken)
        .isSorted()
        .doesNotHaveDuplicates();
  }

  /** Guards against sending requests to a primary that is about to leave. */
  @Test
  void shouldReplaceADrainingPrimary() {
    scenario.setDraining(PRIMARY);
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 101)));
    fixture.run(Duration.ofMillis(3500));
    assertThat(fixture.hosts).allMatch(host -> PRIMARY.equals(scenario.primaryOf(host)));

    fixture.run(Duration.ofMillis(4000));

    assertThat(fixture.promotions).hasSize(1);
    assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }

  /**
   * Guards against losing acknowledged commits that only a draining replica has received: the other
   * replica received nothing for a while.
   */
  @Test
  void shouldPromoteADrainingReplicaThatAloneHasTheLog() {
    scenario.useSynchronousReplica();
    scenario.setDraining(LONG_LOG_REPLICA);
    fixture.run(Duration.ofSeconds(3));
    scenario.reportUnreachable(4);
    fixture.run(Duration.ofSeconds(7));

    assertThat(fixture.promotions)
        .extracting(order -> order.server().id())
        .containsExactly(LONG_LOG_REPLICA);
    assertThat(fixture.hosts).noneMatch(scenario::usesAPrimary);

    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(3, 101)));
    fixture.run(Duration.ofSeconds(6));

    assertThat(fixture.promotions)
        .extracting(order -> order.server().id())
        .containsExactly(LONG_LOG_REPLICA, SHORT_LOG_REPLICA);
    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }

  /** Without synchronous replicas a draining replica would only have to be replaced again. */
  @Test
  void shouldNotPromoteADrainingReplicaWithoutSynchronousReplicas() {
    scenario.setDraining(LONG_LOG_REPLICA);
    fixture.run(Duration.ofSeconds(3));
    scenario.reportUnreachable(4);
    fixture.run(Duration.ofSeconds(7));

    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }

  /**
   * Guards against losing acknowledged commits of a replica that crashed shortly before the primary
   * and has no entry until it returns.
   */
  @Test
  void shouldWaitForALapsedReplicaThatMayHaveTheLog() {
    scenario.useSynchronousReplica();
    ServerEntry lapsed = fixture.entries.remove(LONG_LOG_REPLICA);
    ServerStatusRead.Status status = fixture.statuses.remove(LONG_LOG_REPLICA);
    fixture.run(Duration.ofSeconds(3));
    scenario.reportUnreachable(4);
    fixture.run(Duration.ofSeconds(8));
    assertThat(fixture.promotions).isEmpty();

    fixture.entries.put(LONG_LOG_REPLICA, lapsed);
    fixture.statuses.put(LONG_LOG_REPLICA, status);
    fixture.run(Duration.ofSeconds(6));

    assertThat(fixture.promotions)
        .extracting(order -> order.server().id())
        .containsExactly(LONG_LOG_REPLICA);
  }

  /** Guards against a group without a primary for good after a replica is lost for good. */
  @Test
  void shouldNotWaitForeverForALapsedReplica() {
    scenario.useSynchronousReplica();
    fixture.entries.remove(LONG_LOG_REPLICA);
    fixture.statuses.remove(LONG_LOG_REPLICA);
    fixture.run(Duration.ofSeconds(3));
    scenario.reportUnreachable(4);
    fixture.run(LapsedServers.RETENTION.plusSeconds(7));

    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }
}
