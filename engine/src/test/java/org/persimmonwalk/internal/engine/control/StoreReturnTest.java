package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.LONG_LOG_REPLICA;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.PRIMARY;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.SHORT_LOG_REPLICA;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.OrderPromotion;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.control.ServerUnreachable;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.KeyHash;

/** The store comes back from a copy some seconds old, and its era rises by one. */
class StoreReturnTest {
  private static final Duration AWAY = Duration.ofMillis(500);
  private static final Duration REWRITE_DELAY = Duration.ofMillis(1500);

  private final PromotionScenario scenario = new PromotionScenario(StoreEra.FIRST);
  private final EngineFixture fixture = scenario.fixture;

  private void comeBack(Duration age) {
    fixture.loseStoreToCopy(age, AWAY, REWRITE_DELAY);
    fixture.run(AWAY);
  }

  private void publish(long version) {
    fixture.publish(
        EngineFixture.configuration(
            version, 100, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
  }

  private List<Long> configurationVersions() {
    return fixture.hosts.stream()
        .map(host -> fixture.entry(host, EngineEntries.CONFIGURATION).version())
        .distinct()
        .toList();
  }

  private void promote(BackendServerId server, int count) {
    ServerEntry primary = fixture.entries.get(server);
    fixture.hosts.forEach(host -> host.loop().post(new ServerUnreachable(primary)));
    scenario.runUntilPromotions(count);
    fixture.run(Duration.ofMillis(500));
  }

  /**
   * Guards against a configuration that is never replaced because the version of its row is given
   * out again for a newer one.
   */
  @Test
  void shouldNotTakeAVersionThatIsGivenOutAgainForTheSameContent() {
    fixture.run(Duration.ofSeconds(3));
    long version = fixture.nextRowVersion();
    publish(5);
    fixture.run(Duration.ofSeconds(2));
    assertThat(configurationVersions()).containsExactly(5L);

    comeBack(Duration.ofMillis(2500));
    for (int i = 0; i < 1000 && fixture.nextRowVersion() < version; i++) {
      fixture.run(Duration.ofMillis(10));
    }
    assertThat(fixture.nextRowVersion()).isEqualTo(version);
    publish(6);
    fixture.run(Duration.ofSeconds(3));

    assertThat(configurationVersions()).containsExactly(6L);
  }

  /** Guards against a host that goes back to an older configuration that is in the copy. */
  @Test
  void shouldNotRollTheConfigurationBack() {
    fixture.run(Duration.ofSeconds(3));
    publish(5);
    fixture.run(Duration.ofSeconds(2));

    comeBack(Duration.ofMillis(2500));
    for (int i = 0; i < 40; i++) {
      fixture.run(Duration.ofMillis(100));
      assertThat(configurationVersions()).containsExactly(5L);
    }
  }

  /** Guards against a key that was withdrawn in a configuration that a new process can't know. */
  @Test
  void shouldNotAcceptKeysBeforeTheOperatorHasWrittenAgain() {
    fixture.run(Duration.ofSeconds(3));
    fixture.publish(EngineFixture.configuration(5, 100, Map.of()));
    fixture.run(Duration.ofSeconds(2));

    comeBack(Duration.ofMillis(2500));
    fixture.hosts.forEach(host -> fixture.freeze(host, true));
    Engine started = fixture.restart(fixture.hosts.get(0));
    for (int i = 0; i < 60; i++) {
      fixture.run(Duration.ofMillis(100));
      boolean isWithdrawn = fixture.entry(started, EngineEntries.CONFIGURATION).version() == 5;
      assertThat(isWithdrawn || fixture.entry(started, EngineEntries.KEYS_VERIFIED_AT).isEmpty())
          .isTrue();
    }
    assertThat(fixture.entry(started, EngineEntries.KEYS_VERIFIED_AT)).isPresent();
  }

  /** Guards against fencing tokens that fall because the store has lost the newest lease. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void shouldRaiseTheFencingTokenOverEachThatWasSent(boolean areAllHostsRestarted) {
    fixture.run(Duration.ofSeconds(3));
    promote(PRIMARY, 1);
    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(4, 2)));
    fixture.statuses.remove(LONG_LOG_REPLICA);
    promote(LONG_LOG_REPLICA, 2);

    comeBack(Duration.ofSeconds(9));
    if (areAllHostsRestarted) {
      List.copyOf(fixture.hosts).forEach(fixture::restart);
    }
    fixture.run(Duration.ofSeconds(8));
    fixture.statuses.put(
        LONG_LOG_REPLICA, new ServerStatusRead.Status(false, 5, TermPosition.of(5, 2)));
    fixture.statuses.remove(SHORT_LOG_REPLICA);
    promote(SHORT_LOG_REPLICA, 3);

    assertThat(fixture.promotions)
        .extracting(OrderPromotion::fencingToken)
        .isSorted()
        .doesNotHaveDuplicates();
  }

  /**
   * Guards against writes at the primary before the last one, which the copy names and which still
   * takes itself for the primary.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void shouldNotUseThePrimaryBeforeTheLastOne(boolean areAllHostsRestarted) {
    fixture.run(Duration.ofSeconds(3));
    promote(PRIMARY, 1);
    fixture.run(Duration.ofSeconds(1));
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 102)));

    comeBack(Duration.ofSeconds(7));
    if (areAllHostsRestarted) {
      List.copyOf(fixture.hosts).forEach(fixture::restart);
    }
    for (int i = 0; i < 120; i++) {
      fixture.run(Duration.ofMillis(100));
      assertThat(fixture.hosts).noneMatch(host -> PRIMARY.equals(scenario.primaryOf(host)));
    }

    assertThat(fixture.promotions).hasSize(1);
    assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(scenario.primaryOf(host)));
  }

  /** Guards against hosts that stop writes for seconds although they know the primary. */
  @Test
  void shouldGoOnWithThePrimaryThatAllHostsRemember() {
    fixture.run(Duration.ofSeconds(3));
    promote(PRIMARY, 1);
    fixture.run(Duration.ofSeconds(1));

    comeBack(Duration.ofSeconds(7));
    fixture.run(Duration.ofMillis(500));
    for (int i = 0; i < 50; i++) {
      fixture.run(Duration.ofMillis(100));
      assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(scenario.primaryOf(host)));
    }
  }

  /**
   * Guards against two primaries, and against tokens that fall, when the store loses the steps of a
   * promotion that is under way.
   */
  @ParameterizedTest
  @ValueSource(
      ints = {
        0, 300, 600, 1000, 2000, 3000, 3300, 3400, 3500, 3550, 3600, 3650, 3700, 3750, 3800, 3900,
        4000, 4100, 4200, 4400, 4700, 5000
      })
  void shouldFinishAPromotionThatTheStoreHasLost(int millisSinceReport) {
    fixture.run(Duration.ofSeconds(3));
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 102)));
    fixture.promotionsToDelay = millisSinceReport % 200 == 0 ? 0 : 1;
    scenario.reportUnreachable(4);
    fixture.run(Duration.ofMillis(millisSinceReport));
    comeBack(Duration.ofMillis(4000));
    for (int i = 0; i < 200; i++) {
      fixture.run(Duration.ofMillis(100));
      boolean isPromoted = fixture.statuses.values().stream().anyMatch(status -> status.term() > 3);
      assertThat(isPromoted && fixture.hosts.stream().anyMatch(this::usesFirstPrimary)).isFalse();
    }

    BackendServerId leader =
        fixture.statuses.entrySet().stream()
            .filter(entry -> entry.getValue().primary())
            .max(Map.Entry.comparingByValue((a, b) -> Long.compare(a.term(), b.term())))
            .orElseThrow()
            .getKey();
    assertThat(fixture.hosts).allMatch(host -> leader.equals(scenario.primaryOf(host)));
    assertThat(fixture.promotions).extracting(OrderPromotion::fencingToken).isSorted();
  }

  private boolean usesFirstPrimary(Engine host) {
    return PRIMARY.equals(scenario.primaryOf(host)) && scenario.usesAPrimary(host);
  }

  /** Guards against new work for a server that has announced that it leaves. */
  @Test
  void shouldRememberThatAServerIsDraining() {
    fixture.run(Duration.ofSeconds(3));
    scenario.setDraining(SHORT_LOG_REPLICA);
    fixture.run(Duration.ofSeconds(3));

    fixture.loseStoreToCopy(Duration.ofSeconds(4), AWAY, Duration.ofSeconds(4));
    for (int i = 0; i < 60; i++) {
      fixture.run(Duration.ofMillis(100));
      assertThat(fixture.hosts)
          .allMatch(
              host -> fixture.entry(host, EngineEntries.SERVERS).get(SHORT_LOG_REPLICA).draining());
    }
  }

  /** Guards against a return that hides what was remembered before the one that precedes it. */
  @Test
  void shouldGoOnWithThePrimaryThroughTwoReturns() {
    fixture.run(Duration.ofSeconds(3));
    promote(PRIMARY, 1);
    fixture.run(Duration.ofSeconds(1));

    comeBack(Duration.ofSeconds(7));
    fixture.run(Duration.ofMillis(30));
    fixture.loseStoreToCopy(Duration.ZERO, Duration.ofMillis(20), REWRITE_DELAY);
    fixture.run(Duration.ofMillis(500));
    for (int i = 0; i < 50; i++) {
      fixture.run(Duration.ofMillis(100));
      assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(scenario.primaryOf(host)));
    }
  }

  private TransactionAnswered verification(StoreEra era, TransactionResult result, String value) {
    RowKey row = Leadership.row(EngineFixture.GROUP);
    RunTransaction transaction =
        new RunTransaction(
            TransactionTag.of(VerificationController.PURPOSE, 9999),
            Map.of(row, StoreVersion.absent(StoreEra.FIRST)),
            Map.of());
    return new TransactionAnswered(
        transaction,
        result,
        Map.of(row, StoredRow.of(StoreVersion.of(era, 9999), value)),
        Optional.empty(),
        era,
        Optional.of(
            new StoreTime(1, fixture.clock.now().plus(AWAY), fixture.clock.now().plus(AWAY))));
  }

  /** Guards against an answer of the store before its return that arrives after newer ones. */
  @Test
  void shouldDropAnAnswerOfAnEarlierEra() {
    fixture.run(Duration.ofSeconds(3));
    comeBack(Duration.ofSeconds(1));
    fixture.run(Duration.ofSeconds(1));
    Engine host = fixture.hosts.get(0);

    host.loop().post(verification(StoreEra.FIRST, TransactionResult.CONFLICT, "STABLE s2 1 0"));
    fixture.run(Duration.ofMillis(100));

    assertThat(scenario.primaryOf(host)).isEqualTo(PRIMARY);
    assertThat(fixture.events).anyMatch(event -> event.startsWith("store-answer-outdated"));
  }

  /** Guards against a condition that held by accident, on versions that were given out again. */
  @Test
  void shouldNotRelyOnATransactionThatWasAppliedInAnotherEra() {
    fixture.run(Duration.ofSeconds(3));
    comeBack(Duration.ofSeconds(1));
    fixture.run(Duration.ofSeconds(1));
    Engine host = fixture.hosts.get(0);
    TransactionAnswered answer = verification(StoreEra.of(1), TransactionResult.APPLIED, "");

    host.loop().post(answer);
    fixture.run(Duration.ofMillis(10));

    assertThat(fixture.entry(host, EngineEntries.VERIFIED_AT))
        .isPresent()
        .isNotEqualTo(answer.time().map(StoreTime::sentAt));
    assertThat(fixture.events).anyMatch(event -> event.startsWith("transaction-crossed-eras"));
  }
}
