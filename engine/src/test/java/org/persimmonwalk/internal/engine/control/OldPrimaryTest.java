package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.LONG_LOG_REPLICA;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.PRIMARY;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.SHORT_LOG_REPLICA;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.control.ServerUnreachable;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.id.BackendServerId;

/** Guards against using a server as primary after the promotion of another one. */
class OldPrimaryTest {
  private final PromotionScenario scenario = new PromotionScenario();
  private final EngineFixture fixture = scenario.fixture;

  /**
   * Guards against two hosts that decide at once: a host that promoted a server, stood still until
   * its lease had expired and woke while the next holder was promoting another server recorded its
   * own one, which was no longer the primary.
   */
  @Test
  void shouldNotRecordAPrimaryAfterAnotherHostTookTheLease() {
    scenario.reportUnreachable(4);
    Engine first = scenario.runUntilPromotions(1);
    fixture.freeze(first, true);
    // The next holder can't reach the server that was promoted and promotes the other one.
    fixture.statuses.remove(LONG_LOG_REPLICA);
    Engine second = scenario.runUntilPromotions(2);
    assertThat(second).isNotSameAs(first);
    assertThat(fixture.promotions.get(1).server().id()).isEqualTo(SHORT_LOG_REPLICA);
    fixture.statuses.remove(SHORT_LOG_REPLICA);
    fixture.statuses.put(
        LONG_LOG_REPLICA, new ServerStatusRead.Status(true, 4, TermPosition.of(3, 101)));

    fixture.freeze(first, false);
    fixture.run(Duration.ofMillis(500));
    assertThat(fixture.hosts).noneMatch(scenario::usesAPrimary);
    assertThat(fixture.events).anyMatch(event -> event.startsWith("duty-lost"));

    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(true, 5, TermPosition.of(3, 100)));
    fixture.run(Duration.ofSeconds(4));
    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }

  /**
   * Guards against going back to a primary of an older term: it was replaced while it could not
   * reach its successor, and still calls itself primary when the successor crashes.
   */
  @Test
  void shouldNotRecordAPrimaryOfAnOlderTerm() {
    replaceAPrimaryThatGoesOn();
    assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(scenario.primaryOf(host)));

    // The successor crashes; only the other replica knows its term.
    fixture.statuses.remove(LONG_LOG_REPLICA);
    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(4, 7)));
    ServerEntry crashed = fixture.entries.get(LONG_LOG_REPLICA);
    fixture.hosts.forEach(host -> host.loop().post(new ServerUnreachable(crashed)));
    fixture.run(Duration.ofSeconds(7));

    assertThat(fixture.promotions)
        .extracting(order -> order.server().id())
        .containsExactly(LONG_LOG_REPLICA, SHORT_LOG_REPLICA);
    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }

  /** Guards against the same while the only server that knows the newer term doesn't answer. */
  @Test
  void shouldNotRecordAPrimaryOfAnOlderTermThatAnswersAlone() {
    replaceAPrimaryThatGoesOn();
    fixture.statuses.remove(LONG_LOG_REPLICA);
    fixture.statuses.remove(SHORT_LOG_REPLICA);
    ServerEntry crashed = fixture.entries.get(LONG_LOG_REPLICA);
    fixture.hosts.forEach(host -> host.loop().post(new ServerUnreachable(crashed)));
    fixture.run(Duration.ofSeconds(5));
    assertThat(fixture.promotions).hasSize(1);
    assertThat(fixture.hosts).noneMatch(scenario::usesAPrimary);

    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(4, 7)));
    fixture.run(Duration.ofSeconds(4));

    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }

  /** Guards against a group without a primary for good when the other replicas never answer. */
  @Test
  void shouldPromoteAServerOfAnOlderTermWhenNoOtherAnswers() {
    replaceAPrimaryThatGoesOn();
    fixture.statuses.remove(LONG_LOG_REPLICA);
    fixture.statuses.remove(SHORT_LOG_REPLICA);
    ServerEntry crashed = fixture.entries.get(LONG_LOG_REPLICA);
    fixture.hosts.forEach(host -> host.loop().post(new ServerUnreachable(crashed)));
    fixture.run(Duration.ofSeconds(10));

    assertThat(fixture.promotions)
        .extracting(order -> order.server().id())
        .containsExactly(LONG_LOG_REPLICA, PRIMARY);
    assertThat(fixture.hosts).allMatch(host -> PRIMARY.equals(scenario.primaryOf(host)));
  }

  /** Guards against the same in a planned replacement whose present primary doesn't answer. */
  @Test
  void shouldNotRecordAPrimaryOfAnOlderTermInAPlannedReplacement() {
    replaceAPrimaryThatGoesOn();
    scenario.setDraining(LONG_LOG_REPLICA);
    fixture.statuses.remove(LONG_LOG_REPLICA);
    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(4, 7)));
    fixture.run(Duration.ofSeconds(8));

    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }

  /**
   * Guards against going back to the old primary after a promotion was ordered without an answer:
   * it may still take effect, and writes to the old primary are lost then.
   */
  @Test
  void shouldNotGoBackToTheOldPrimaryWhileAPromotionMayTakeEffect() {
    fixture.promotionsToDelay = 1;
    scenario.reportUnreachable(4);
    scenario.runUntilPromotions(1);
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 105)));
    fixture.run(Duration.ofSeconds(8));

    assertThat(fixture.events)
        .noneMatch(event -> event.startsWith("primary-recorded") && event.contains("s1"));
    assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }

  /** Guards against the same when the host that ordered the promotion dies. */
  @Test
  void shouldNotGoBackToTheOldPrimaryAfterTheHostThatOrderedDied() {
    fixture.promotionsToDelay = 1;
    scenario.reportUnreachable(4);
    fixture.freeze(scenario.runUntilPromotions(1), true);
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 105)));
    fixture.run(Duration.ofSeconds(9));

    assertThat(fixture.events)
        .noneMatch(event -> event.startsWith("primary-recorded") && event.contains("s1"));
    assertThat(fixture.promotions).allMatch(order -> order.server().id().equals(LONG_LOG_REPLICA));
    assertThat(fixture.events)
        .anyMatch(event -> event.startsWith("primary-recorded") && event.contains("s3"));
  }

  /**
   * Guards against a term of another group, whose servers answered late, that no server reaches.
   */
  @Test
  void shouldLeaveOutTheAnswersOfServersOfOtherGroups() {
    ServerStatusRead late =
        new ServerStatusRead(
            BackendServerId.of("x1"),
            Optional.of(new ServerStatusRead.Status(true, 99, TermPosition.of(99, 1))));
    scenario.reportUnreachable(4);
    for (int i = 0; i < 300; i++) {
      fixture.hosts.forEach(host -> host.loop().post(late));
      fixture.run(Duration.ofMillis(20));
    }

    assertThat(fixture.promotions).hasSize(1);
    assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }

  /** Guards against losing the commits of a primary that returns before anything was ordered. */
  @Test
  void shouldKeepAPrimaryThatReturnsBeforeAPromotionIsOrdered() {
    scenario.reportUnreachable(4);
    fixture.run(Duration.ofSeconds(2));
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 105)));
    fixture.run(Duration.ofSeconds(6));

    assertThat(fixture.promotions).isEmpty();
    assertThat(fixture.hosts).allMatch(host -> PRIMARY.equals(scenario.primaryOf(host)));
  }

  /** The replaced primary can't reach its successor and goes on in its old term. */
  private void replaceAPrimaryThatGoesOn() {
    scenario.reportUnreachable(4);
    scenario.runUntilPromotions(1);
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 102)));
    fixture.run(Duration.ofSeconds(4));
  }
}
