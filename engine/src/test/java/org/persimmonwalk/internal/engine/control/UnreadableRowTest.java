package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.testing.MutatedInput;
import org.persimmonwalk.testing.SmallStack;

/**
 * Guards against rows of the project's own tables that can't be read, which another program or a
 * newer version may have written. The exception of one row used to end each control round.
 */
class UnreadableRowTest {
  private static final int TRIES = 10_000;
  private static final long VERSION = 900;
  private static final RateLimit LIMIT = new RateLimit(100, 50);
  private static final BackendServerId REPLICA = BackendServerId.of("s3");
  private static final EngineSettings SETTINGS =
      EngineSettingsFixture.of(0, 1, EngineSettingsFixture.USUAL_BOUNDS);

  private static BackendServerId primaryOf(EngineFixture fixture, Engine host) {
    return fixture
        .entry(host, EngineEntries.PRIMARIES)
        .get(EngineFixture.GROUP)
        .server()
        .map(ServerEntry::id)
        .orElse(null);
  }

  /**
   * Guards against using a server that claims to be the primary while the row that names the true
   * one can't be read; the hosts have to promote a server again.
   */
  @ParameterizedTest
  @ValueSource(strings = {"LEAVING s1 1 0", "STABLE s1 x 0", "STABLE", "STABLE s1 1 0 2", "\uFFFD"})
  void shouldFindThePrimaryAnewWhenTheLeadershipRowIsUnreadable(String text) {
    EngineFixture fixture = new EngineFixture(3);
    fixture.statuses.put(REPLICA, new ServerStatusRead.Status(false, 3, TermPosition.of(3, 100)));
    fixture.write(Leadership.row(EngineFixture.GROUP), text);
    fixture.run(Duration.ofSeconds(2));

    assertThat(fixture.hosts).allMatch(host -> primaryOf(fixture, host) == null);
    assertThat(fixture.promotions).isEmpty();
    assertThat(fixture.events).anyMatch(event -> event.contains("rowUnreadable, true"));

    fixture.run(Duration.ofSeconds(8));

    assertThat(fixture.promotions).hasSize(1);
    assertThat(fixture.hosts).allMatch(host -> REPLICA.equals(primaryOf(fixture, host)));
  }

  /** Guards against a host that stays without a relay, or stops, because of the row of its zone. */
  @ParameterizedTest
  @ValueSource(
      strings = {"host9 10.1.0.9:99999", "host9 db.example:1", "a b c", "", "host9 10.1.0.9"})
  void shouldClaimTheRelayRoleWhenTheRowIsUnreadable(String text) {
    EngineFixture fixture = new EngineFixture(3);
    fixture.run(Duration.ofSeconds(3));
    RowKey key = RelayController.row(AvailabilityZone.of("a"));
    fixture.write(key, text);
    fixture.run(Duration.ofSeconds(5));

    assertThat(RelayHost.parse(fixture.rows.get(key).value())).isPresent();
  }

  /** Guards against a fencing token that is lower than one that was used before. */
  @ParameterizedTest
  @ValueSource(
      strings = {"host0 x 0", "host0 99999999999999999999 0", "host0 901 0", "host0 -1 0", ""})
  void shouldContinueTheFencingTokensAboveTheVersionOfAnUnreadableRow(String text) {
    StoredRow row = StoredRow.of(StoreVersion.of(StoreEra.UNKNOWN, VERSION), text);

    assertThat(PromotionLease.nextFencingToken(row)).isEqualTo(VERSION + 1);
    assertThat(PromotionLease.isFree(row, 0)).isTrue();
  }

  @Test
  void shouldCountTheReportsThatAreReadable() {
    ServerEntry server = EngineFixture.server("s1", true);
    String text = "s1/1 host1@500 host2 @7 host3@ host4@99999999999999999999 host5@600";

    assertThat(UnreachableReports.parse(text, server).reportedAt())
        .isEqualTo(Map.of("host1", 500L, "host5", 600L));
  }

  /** Guards against a group without a primary because nobody can read what was ordered before. */
  @ParameterizedTest
  @ValueSource(strings = {"", "3", "3 x s3 1", "99999999999999999999 0 none 0", "3 0 none 0 1"})
  void shouldPromoteWhenTheRecordOfPromotionsIsUnreadable(String text) {
    EngineFixture fixture = new EngineFixture(3);
    fixture.statuses.put(REPLICA, new ServerStatusRead.Status(false, 3, TermPosition.of(3, 100)));
    fixture.write(PromotionRecord.row(EngineFixture.GROUP), text);
    fixture.write(Leadership.row(EngineFixture.GROUP), "MOVING s1 1 0");
    fixture.run(Duration.ofSeconds(8));

    assertThat(fixture.promotions).hasSize(1);
    assertThat(fixture.hosts).allMatch(host -> REPLICA.equals(primaryOf(fixture, host)));
    assertThat(fixture.events)
        .anyMatch(event -> event.startsWith("row-unreadable") && event.contains("promotion"));
  }

  /** Guards against an exception in the control thread because of a row of blanks. */
  @ParameterizedTest
  @ValueSource(strings = {"", " ", "   "})
  void shouldReadARowOfBlanksAsOneWithoutReports(String text) {
    ServerEntry server = EngineFixture.server("s1", true);

    assertThat(UnreachableReports.parse(text, server).reportedAt()).isEmpty();
  }

  /**
   * Guards against a rate row that admits more than the limit, or nothing at all, for good: times
   * far ahead of the store's clock would stop the refill, and an infinite count would not end.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "1e400 1000",
        "NaN 1000",
        "-5 1000",
        "70.0 9000000000000000",
        "70.0 1000 host1 9223372036854775807 1000 3 2.0",
        "70.0 1000 host1 -7 1000 3 2.0",
        "70.0 1000 host1 7 1000 3",
        "70.0 1000 host1 7 1000 3 x",
        "tokens 1000"
      })
  void shouldTreatAnUnreadableRateRowAsAnEmptyBucket(String text) {
    RateRow row =
        RateRow.parse(StoredRow.of(StoreVersion.of(StoreEra.UNKNOWN, VERSION), text), LIMIT, 2000);

    assertThat(row.tokens()).isZero();
    assertThat(row.holdings()).isEmpty();
    assertThat(row.refilled(LIMIT, SETTINGS, SETTINGS.host(), 2500).tokens()).isEqualTo(50);
  }

  /**
   * Guards against admitting more than the limit while lenders that the row no longer names refill
   * their pools.
   */
  @Test
  void shouldNotRefillTheBucketOfAnUnreadableRowWhileLendersMayRefillTheirPools() {
    RateRow row =
        RateRow.parse(
            StoredRow.of(StoreVersion.of(StoreEra.of(1), VERSION), "tokens 1000"), LIMIT, 2000);
    long longest =
        (long) (PoolRefill.VALIDITY.toMillis() * AcquisitionPlanner.LARGEST_REFILL) + 2000;

    assertThat(row.refilled(LIMIT, SETTINGS, SETTINGS.host(), longest).tokens()).isZero();
    assertThat(row.refilled(LIMIT, SETTINGS, SETTINGS.host(), 6000).tokens()).isPositive();
  }

  @Provide
  Arbitrary<byte[]> rows() {
    return MutatedInput.of(
        List.of(
            "STABLE s1 1700000000000 0".getBytes(StandardCharsets.UTF_8),
            "SWITCHING s1 1700000000000 88000".getBytes(StandardCharsets.UTF_8),
            "host1 12 88000".getBytes(StandardCharsets.UTF_8),
            "4 120 s3 1700000000000".getBytes(StandardCharsets.UTF_8),
            "host1 10.1.0.9:7560".getBytes(StandardCharsets.UTF_8),
            "s1/1 host1@500 host2@600".getBytes(StandardCharsets.UTF_8),
            "70.25 1000 host1 7 1000 3 2.0 host2 0 900 1 0.5".getBytes(StandardCharsets.UTF_8)));
  }

  @Property(
      tries = TRIES,
      seed = "1711",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.BOUNDED)
  void shouldReadAnyRowWithinItsLimits(@ForAll("rows") byte[] bytes) {
    StoredRow row =
        StoredRow.of(
            StoreVersion.of(StoreEra.UNKNOWN, VERSION), new String(bytes, StandardCharsets.UTF_8));
    ServerEntry server = EngineFixture.server("s1", true);
    SmallStack.run(
        () -> {
          assertThat(Leadership.parse(row)).isPresent();
          assertThat(PromotionLease.nextFencingToken(row)).isPositive();
          PromotionLease.isFree(row, 1000);
          assertThat(PromotionRecord.parse(row)).isNotNull();
          RelayHost.parse(row.value());
          UnreachableReports.parse(row.value(), server);
          double tokens =
              RateRow.parse(row, LIMIT, 1000)
                  .refilled(LIMIT, SETTINGS, SETTINGS.host(), 2000)
                  .tokens();
          assertThat(tokens).isBetween(0.0, RateRow.capacity(LIMIT, SETTINGS));
        });
  }
}
