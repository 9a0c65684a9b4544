package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.stream.IntStream;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.control.ServerUnreachable;
import org.persimmonwalk.engine.control.ServiceBounds;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.KeyHash;

/**
 * A group of three servers before four hosts, and what tests do with them to replace its primary.
 */
final class PromotionScenario {
  static final BackendServerId PRIMARY = BackendServerId.of("s1");
  static final BackendServerId SHORT_LOG_REPLICA = BackendServerId.of("s2");
  static final BackendServerId LONG_LOG_REPLICA = BackendServerId.of("s3");

  final EngineFixture fixture;

  PromotionScenario() {
    this(StoreEra.UNKNOWN);
  }

  /** Starts the hosts before a store that tells the given era. */
  PromotionScenario(StoreEra era) {
    this(era, EngineSettingsFixture.USUAL_BOUNDS);
  }

  /** Starts the hosts with the given bounds. */
  PromotionScenario(StoreEra era, ServiceBounds bounds) {
    fixture = new EngineFixture(4, 1, bounds, era);
    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 3, TermPosition.of(3, 100)));
    fixture.statuses.put(
        LONG_LOG_REPLICA, new ServerStatusRead.Status(false, 3, TermPosition.of(3, 101)));
  }

  void reportUnreachable(int hosts) {
    ServerEntry primary = fixture.entries.get(PRIMARY);
    for (int i = 0; i < hosts; i++) {
      fixture.hosts.get(i).loop().post(new ServerUnreachable(primary));
    }
  }

  BackendServerId primaryOf(Engine host) {
    return fixture
        .entry(host, EngineEntries.PRIMARIES)
        .get(EngineFixture.GROUP)
        .server()
        .map(ServerEntry::id)
        .orElse(null);
  }

  /** Runs until the number of promotions was ordered and returns the host that ordered the last. */
  Engine runUntilPromotions(int count) {
    for (int i = 0; i < 1000 && fixture.promotions.size() < count; i++) {
      fixture.run(Duration.ofMillis(10));
    }
    assertThat(fixture.promotions).hasSize(count);
    EntryHostId holder = fixture.promotions.get(count - 1).holder();
    return IntStream.range(0, fixture.hosts.size())
        .filter(
            number ->
                EngineSettingsFixture.of(number, 1, EngineSettingsFixture.USUAL_BOUNDS)
                    .host()
                    .equals(holder))
        .mapToObj(fixture.hosts::get)
        .findFirst()
        .orElseThrow();
  }

  /** Runs until the leadership row in the store announces a replacement with the given phase. */
  void runUntilAnnounced(Leadership.Phase phase) {
    for (int i = 0; i < 1000 && !isAnnounced(phase); i++) {
      fixture.run(Duration.ofMillis(10));
    }
    assertThat(isAnnounced(phase)).isTrue();
  }

  private boolean isAnnounced(Leadership.Phase phase) {
    RowKey leadership = Leadership.row(EngineFixture.GROUP);
    return Leadership.parse(fixture.rows.getOrDefault(leadership, StoredRow.ABSENT))
        .filter(row -> row.phase() == phase)
        .isPresent();
  }

  boolean usesAPrimary(Engine host) {
    return fixture
        .entry(host, EngineEntries.PRIMARIES)
        .get(EngineFixture.GROUP)
        .at(fixture.clock.now())
        .isPresent();
  }

  /** Returns whether the host may use the primary that it knows. */
  boolean isVerified(Engine host) {
    return fixture
        .entry(host, EngineEntries.VERIFIED_AT)
        .filter(
            at -> fixture.clock.now().since(at).compareTo(EngineTimings.VERIFICATION_VALIDITY) < 0)
        .isPresent();
  }

  void useSynchronousReplica() {
    fixture.publish(
        EngineFixture.configuration(
            2, 100, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE), 1));
    fixture.run(Duration.ofSeconds(3));
  }

  void setDraining(BackendServerId server) {
    ServerEntry old = fixture.entries.get(server);
    fixture.entries.put(
        server,
        new ServerEntry(
            old.id(), old.group(), old.endpoint(), old.zone(), 3, true, old.primary(), 1));
  }
}
