package org.persimmonwalk.engine.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * What a host knew of the store's rows when it learned of a new era. The store may have lost the
 * newest of them.
 *
 * @param rows the rows, with the versions of the earlier era
 * @param verifiedGroups the groups whose leadership rows had been verified so recently that no
 *     replacement of their primaries can have been ordered without notice of this host
 * @param verifiedAt when these rows were verified last
 */
public record RememberedRows(
    Map<RowKey, StoredRow> rows,
    Set<DatabaseGroupId> verifiedGroups,
    Optional<MonotonicTime> verifiedAt) {

  /** A host that has been in one era only. */
  public static final RememberedRows NONE =
      new RememberedRows(Map.of(), Set.of(), Optional.empty());

  /** Makes the collections immutable. */
  public RememberedRows {
    rows = Map.copyOf(rows);
    verifiedGroups = Set.copyOf(verifiedGroups);
  }

  /** Returns whether nothing is remembered. */
  public boolean isEmpty() {
    return rows.isEmpty();
  }

  /** Returns the remembered content of the row; absent if there is none. */
  public StoredRow row(RowKey key) {
    return rows.getOrDefault(key, StoredRow.ABSENT);
  }

  /**
   * Returns the newer of the remembered and the stored content of a row that nobody has written in
   * the new era yet. Up to the copy both have the same history, so their numbers can be compared.
   */
  public StoredRow newest(RowKey key, StoredRow stored) {
    StoredRow remembered = row(key);
    return stored.version().number() >= remembered.version().number() ? stored : remembered;
  }

  /** Returns the rows that are in force where these are remembered and the given ones stored. */
  public Map<RowKey, StoredRow> combinedWith(Map<RowKey, StoredRow> stored) {
    Map<RowKey, StoredRow> combined = new HashMap<>(rows);
    stored.forEach((key, row) -> combined.put(key, newest(key, row)));
    return combined;
  }
}
