package org.persimmonwalk.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.id.AvailabilityZone;

/** Guards against an old answer that brings a removed row back, or removes a newer one. */
class StoredRowTest {
  private static StoreVersion version(long number) {
    return StoreVersion.of(StoreEra.of(2), number);
  }

  @Test
  void shouldOrderAnAbsenceAgainstAContent() {
    StoredRow written = StoredRow.of(version(7), "{}");

    assertThat(StoredRow.removedAsOf(version(8)).isNewerThan(written)).isTrue();
    assertThat(StoredRow.removedAsOf(version(6)).isNewerThan(written)).isFalse();
    assertThat(written.isNewerThan(StoredRow.removedAsOf(version(6)))).isTrue();
    assertThat(written.isNewerThan(StoredRow.removedAsOf(version(8)))).isFalse();
  }

  /** Guards against a removal that does not count because it did not raise the store's version. */
  @Test
  void shouldTakeTheAbsenceForNewerAtEqualVersions() {
    StoredRow written = StoredRow.of(version(7), "{}");
    StoredRow removed = StoredRow.removedAsOf(version(7));

    assertThat(removed.isNewerThan(written)).isTrue();
    assertThat(written.isNewerThan(removed)).isFalse();
  }

  @Test
  void shouldTakeARowOfALaterEraForNewer() {
    StoredRow removed = StoredRow.removedAsOf(version(7));
    StoredRow later = StoredRow.of(StoreVersion.of(StoreEra.of(3), 1), "{}");

    assertThat(later.isNewerThan(removed)).isTrue();
    assertThat(removed.inEra(StoreEra.of(3)).removed()).isTrue();
  }

  /** Guards against a transaction that expects the version of the whole store of a missing row. */
  @Test
  void shouldExpectNoVersionOfARemovedRow() {
    assertThat(StoredRow.removedAsOf(version(7)).expectedVersion().exists()).isFalse();
    assertThat(StoredRow.removedAsOf(version(7)).exists()).isFalse();
    assertThat(StoredRow.of(version(7), "").expectedVersion()).isEqualTo(version(7));
  }

  /** Guards against a call that the store refuses as a whole because of the zone of one server. */
  @Test
  void shouldHaveNoEvacuationRowForAZoneThatNoKeyCanHold() {
    assertThat(RowKey.ofEvacuation(AvailabilityZone.ofExternal("x".repeat(181)))).isEmpty();
    assertThat(RowKey.ofEvacuation(AvailabilityZone.ofExternal("a\u0000b"))).isEmpty();
    assertThat(RowKey.ofEvacuation(AvailabilityZone.ofExternal("x".repeat(180)))).isPresent();
    assertThat(RowKey.ofEvacuation(AvailabilityZone.of("a")).orElseThrow().isEvacuation()).isTrue();
  }
}
