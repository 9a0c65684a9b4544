package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.LONG_LOG_REPLICA;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.PRIMARY;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.SHORT_LOG_REPLICA;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.model.MonotonicTime;

/** Guards against planned promotions before all hosts have stopped using the old primary. */
class LateAnnouncementTest {
  private static final RowKey LEADERSHIP = Leadership.row(EngineFixture.GROUP);

  private final PromotionScenario scenario = new PromotionScenario();
  private final EngineFixture fixture = scenario.fixture;

  /**
   * Guards against losing acknowledged writes: the store performed the announcement late, so that
   * its switch time came before the verification of a host that did not know it had expired.
   */
  @ParameterizedTest
  @ValueSource(longs = {1000, 2500, 3500, 6000})
  void shouldNotPromoteWhileAHostThatMissedALateAnnouncementUsesTheOldPrimary(long lateMillis) {
    fixture.lateEffects.delay = Duration.ofMillis(lateMillis);
    fixture.lateEffects.matching = LateAnnouncementTest::writesLeadership;
    scenario.setDraining(PRIMARY);
    scenario.runUntilAnnounced(Leadership.Phase.SWITCHING);
    Engine uninformed = fixture.hosts.get(3);
    fixture.cutOff(uninformed, true);
    fixture.peersAreReachable = false;
    fixture.lateEffects.matching = transaction -> false;
    assertThat(scenario.isVerified(uninformed)).isTrue();

    scenario.runUntilPromotions(1);

    assertThat(scenario.isVerified(uninformed) && scenario.usesAPrimary(uninformed)).isFalse();
  }

  /** Guards against a gap in writes above the target of 6 s after a late announcement. */
  @Test
  void shouldReplaceThePrimaryAfterALateAnnouncement() {
    fixture.lateEffects.matching = LateAnnouncementTest::writesLeadership;
    scenario.setDraining(PRIMARY);
    scenario.runUntilAnnounced(Leadership.Phase.SWITCHING);
    fixture.lateEffects.matching = transaction -> false;
    fixture.run(Duration.ofSeconds(6));

    assertThat(fixture.promotions)
        .extracting(order -> order.server().id())
        .containsExactly(LONG_LOG_REPLICA);
    assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }

  /**
   * Guards against a longer gap in writes: no host has used a server that was promoted only for its
   * log, so its replacement need not wait for any, even if the host that promoted it dies.
   */
  @Test
  void shouldNotWaitToReplaceAServerThatNoHostHasUsed() {
    // Each host reads the store itself, so that the host that dies is not the relay of the others.
    fixture.peersAreReachable = false;
    scenario.useSynchronousReplica();
    scenario.setDraining(LONG_LOG_REPLICA);
    fixture.run(Duration.ofSeconds(3));
    scenario.reportUnreachable(4);
    Engine promoter = scenario.runUntilPromotions(1);
    scenario.runUntilAnnounced(Leadership.Phase.SWITCHING);
    MonotonicTime recordedAt = fixture.clock.now();
    fixture.freeze(promoter, true);
    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(4, 1)));

    scenario.runUntilPromotions(2);

    assertThat(fixture.clock.now().since(recordedAt))
        .isLessThan(EngineTimings.VERIFICATION_VALIDITY);
  }

  private static boolean writesLeadership(RunTransaction transaction) {
    return transaction.writes().containsKey(LEADERSHIP);
  }
}
