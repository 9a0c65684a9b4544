package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.id.AvailabilityZone;

/** Guards against hosts that do not learn of an evacuation, or of its end. */
class EvacuationTest {
  private static final AvailabilityZone ZONE_A = AvailabilityZone.of("a");
  private static final AvailabilityZone ZONE_B = AvailabilityZone.of("b");
  private static final AvailabilityZone ZONE_C = AvailabilityZone.of("c");

  /** One verification, the exchange with the relay and the way of the answers. */
  private static final Duration LEARNED = Duration.ofMillis(1500);

  private final EngineFixture fixture =
      new EngineFixture(6, 2, EngineSettingsFixture.BOUNDS_WITH_EVACUATION, StoreEra.FIRST);

  private void start() {
    fixture.operator.place("s2", "b");
    fixture.operator.place("s3", "c");
    fixture.run(Duration.ofSeconds(6));
  }

  private Set<AvailabilityZone> evacuated(Engine host) {
    return fixture.entry(host, EngineEntries.EVACUATIONS).deadlines().keySet();
  }

  private void assertEvacuated(AvailabilityZone... zones) {
    assertThat(fixture.hosts).allSatisfy(host -> assertThat(evacuated(host)).containsOnly(zones));
  }

  private long count(String event) {
    return fixture.events.stream().filter(line -> line.startsWith(event + "[")).count();
  }

  /** Guards against calls and rows for a feature that a deployment has not asked for. */
  @Test
  void shouldWatchNoRowsWithoutTheBound() {
    EngineFixture without = new EngineFixture(2);
    without.operator.evacuate("a");
    without.run(Duration.ofSeconds(3));

    assertThat(without.hosts)
        .allSatisfy(
            host -> {
              assertThat(without.entry(host, EngineEntries.WATCHED_ZONES)).isEmpty();
              assertThat(without.entry(host, EngineEntries.EVACUATIONS).deadlines()).isEmpty();
            });
  }

  /** Guards against a verification call of its own for the rows. */
  @Test
  void shouldWatchTheRowsWithoutFurtherCalls() {
    start();
    int before = fixture.transactions.calls;
    fixture.run(Duration.ofSeconds(10));

    assertThat(fixture.transactions.calls - before).isLessThanOrEqualTo(22);
    assertThat(fixture.hosts)
        .allSatisfy(
            host ->
                assertThat(fixture.entry(host, EngineEntries.WATCHED_ZONES))
                    .containsExactlyInAnyOrder(ZONE_A, ZONE_B, ZONE_C));
  }

  @Test
  void shouldFollowTheRowsOfTwoZones() {
    start();
    fixture.operator.evacuate("a");
    fixture.run(LEARNED);
    assertEvacuated(ZONE_A);
    assertThat(count("evacuation-started")).isEqualTo(6);

    fixture.operator.evacuate("c");
    fixture.run(LEARNED);
    assertEvacuated(ZONE_A, ZONE_C);

    fixture.operator.takeBack("a");
    fixture.run(LEARNED);
    assertEvacuated(ZONE_C);

    fixture.operator.takeBack("c");
    fixture.run(LEARNED);
    assertEvacuated();
    assertThat(count("evacuation-ended")).isEqualTo(12);
  }

  /** Guards against a deadline after the bound that the operator relies on. */
  @Test
  void shouldSetTheDeadlineWithinTheBound() {
    start();
    for (int i = 0; i < 10; i++) {
      fixture.operator.evacuate("a");
      Duration bound = Duration.ofMillis(4500);
      var confirmedAt = fixture.clock.now();
      fixture.run(LEARNED);
      assertThat(fixture.hosts)
          .allSatisfy(
              host -> {
                var deadline =
                    fixture.entry(host, EngineEntries.EVACUATIONS).deadlines().get(ZONE_A);
                assertThat(deadline.since(confirmedAt)).isLessThanOrEqualTo(bound);
                assertThat(deadline.since(confirmedAt)).isGreaterThan(bound.minus(LEARNED));
              });
      fixture.operator.takeBack("a");
      fixture.run(LEARNED.plusMillis(130L * i));
    }
  }

  /** Guards against effects of a row whose zone has no servers. */
  @Test
  void shouldOnlyLogAZoneThatNoServerNames() {
    fixture.operator.place("s2", "c");
    fixture.run(Duration.ofSeconds(6));
    fixture.operator.evacuate("b");
    fixture.run(Duration.ofSeconds(10));
    assertEvacuated();
    assertThat(count("evacuation-without-servers")).isEqualTo(6);
    assertThat(fixture.events).noneMatch(event -> event.startsWith("evacuation-started"));

    fixture.operator.takeBack("b");
    fixture.run(LEARNED);

    assertThat(fixture.events)
        .noneMatch(event -> event.startsWith("evacuation-ended"))
        .noneMatch(event -> event.startsWith("evacuation-drained"));
  }

  /** Guards against a server that joins an evacuated zone and is used until the next call. */
  @Test
  void shouldEvacuateAZoneWhenItsFirstServerIsListed() {
    fixture.operator.place("s2", "c");
    fixture.run(Duration.ofSeconds(6));
    fixture.operator.evacuate("b");
    fixture.run(LEARNED);
    fixture.operator.place("s3", "b");
    for (int i = 0; i < 300; i++) {
      fixture.run(Duration.ofMillis(10));
      assertThat(fixture.hosts)
          .allMatch(
              host ->
                  evacuated(host).contains(ZONE_B)
                      || fixture.entry(host, EngineEntries.SERVERS).values().stream()
                          .noneMatch(entry -> entry.zone().equals(ZONE_B)));
    }
    assertEvacuated(ZONE_B);
  }

  /** Guards against hosts that miss an evacuation, or its end, because their relay dies. */
  @Test
  void shouldFollowTheRowsWhenTheRelaysDieHalfway() {
    start();
    fixture.operator.evacuate("a");
    fixture.run(Duration.ofMillis(30));
    fixture.hosts.stream()
        .filter(host -> fixture.entry(host, EngineEntries.RELAY_ROLE).kind().name().equals("RELAY"))
        .forEach(host -> fixture.freeze(host, true));
    fixture.run(Duration.ofMillis(4400));
    assertThat(fixture.hosts.stream().filter(host -> evacuated(host).contains(ZONE_A)).count())
        .isGreaterThanOrEqualTo(4);

    fixture.operator.takeBack("a");
    fixture.run(Duration.ofMillis(3000));
    assertThat(fixture.hosts.stream().filter(host -> evacuated(host).isEmpty()).count())
        .isGreaterThanOrEqualTo(4);

    // The old relays resume with what they knew, and the end of the evacuation stays known.
    fixture.hosts.forEach(host -> fixture.freeze(host, false));
    fixture.run(Duration.ofMillis(3000));
    assertEvacuated();
  }

  /** Guards against a host that forgets what it knew while it reaches neither relay nor store. */
  @Test
  void shouldKeepTheEvacuationsWhileTheStoreIsDown() {
    start();
    fixture.operator.evacuate("a");
    fixture.run(LEARNED);
    fixture.storeIsUp = false;
    fixture.run(Duration.ofSeconds(20));
    assertEvacuated(ZONE_A);

    fixture.operator.takeBack("a");
    fixture.storeIsUp = true;
    fixture.run(Duration.ofSeconds(4));

    assertEvacuated();
  }

  /** Guards against a request that is lost because the store goes down right after it. */
  @Test
  void shouldLearnOfARequestAfterTheStoreWasDown() {
    start();
    fixture.operator.evacuate("a");
    fixture.storeIsUp = false;
    fixture.run(Duration.ofSeconds(3));
    assertEvacuated();

    fixture.storeIsUp = true;
    fixture.run(Duration.ofSeconds(2));

    assertEvacuated(ZONE_A);
  }

  /** Guards against a zone that is used again because the store lost the row that hosts know. */
  @Test
  void shouldKeepAnEvacuationThatTheStoreHasLost() {
    start();
    fixture.operator.evacuate("a");
    fixture.run(LEARNED);
    fixture.loseStoreToCopy(Duration.ofSeconds(3), Duration.ofMillis(500), Duration.ofMillis(1500));
    for (int i = 0; i < 100; i++) {
      fixture.run(Duration.ofMillis(100));
      assertEvacuated(ZONE_A);
    }

    fixture.operator.takeBack("a");
    fixture.run(LEARNED);

    assertEvacuated();
  }

  /** Guards against a request that is lost because the store comes back without it. */
  @Test
  void shouldLearnOfARequestThatIsWrittenAgain() {
    start();
    fixture.operator.evacuate("a");
    fixture.loseStoreToCopy(Duration.ofSeconds(3), Duration.ofMillis(500), Duration.ofMillis(1500));
    fixture.run(Duration.ofMillis(500 + 1500).plus(LEARNED).plus(LEARNED));

    assertEvacuated(ZONE_A);
  }

  /** Guards against an evacuation that never ends because the operator dropped it meanwhile. */
  @Test
  void shouldEndAnEvacuationThatTheOperatorDoesNotWriteAgain() {
    start();
    fixture.operator.evacuate("a");
    fixture.run(LEARNED);
    fixture.loseStoreToCopy(Duration.ofSeconds(3), Duration.ofMillis(500), Duration.ofSeconds(60));
    fixture.run(Duration.ofSeconds(10));

    assertEvacuated();
  }

  /** Guards against an answer that arrives late, or twice, and undoes what is newer. */
  @Test
  void shouldIgnoreAnOldAnswer() {
    start();
    fixture.operator.evacuate("a");
    StoredRow old = fixture.rows.get(row("a"));
    fixture.run(LEARNED);
    fixture.operator.takeBack("a");
    fixture.run(LEARNED);
    assertEvacuated();

    fixture.hosts.forEach(host -> host.loop().post(answer(old)));
    fixture.run(Duration.ofMillis(200));
    assertEvacuated();

    fixture.operator.evacuate("a");
    StoreVersion missing = StoreVersion.of(StoreEra.FIRST, fixture.nextRowVersion() - 2);
    fixture.run(LEARNED);
    fixture.hosts.forEach(host -> host.loop().post(answer(StoredRow.removedAsOf(missing))));
    for (int i = 0; i < 20; i++) {
      fixture.run(Duration.ofMillis(10));
      assertEvacuated(ZONE_A);
    }
  }

  private static RowKey row(String zone) {
    return RowKey.ofEvacuation(AvailabilityZone.of(zone)).orElseThrow();
  }

  /** Returns an answer of the store that shows the row; it was asked long ago. */
  private TransactionAnswered answer(StoredRow shown) {
    StoreTime time =
        new StoreTime(
            1,
            fixture.clock.now().minus(Duration.ofSeconds(3)),
            fixture.clock.now().minus(Duration.ofSeconds(2)));
    return new TransactionAnswered(
        new RunTransaction(TransactionTag.of("other", 1), Map.of(), Map.of()),
        TransactionResult.CONFLICT,
        Map.of(row("a"), shown),
        Optional.empty(),
        StoreEra.FIRST,
        Optional.of(time));
  }
}
