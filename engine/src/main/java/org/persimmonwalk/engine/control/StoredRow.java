package org.persimmonwalk.engine.control;

/**
 * The content of a row as last seen in the store, with its version.
 *
 * @param removed whether the store has told that the row does not exist; the version is then the
 *     newest one of the whole store, so that the absence can be ordered against a content
 */
public record StoredRow(StoreVersion version, String value, boolean removed) {

  /** A row that does not exist. */
  public static final StoredRow ABSENT = absent(StoreEra.UNKNOWN);

  /** Returns a row with the given content. */
  public static StoredRow of(StoreVersion version, String value) {
    return new StoredRow(version, value, false);
  }

  /** Returns a row that doesn't exist, or hasn't been read, in the given era. */
  public static StoredRow absent(StoreEra era) {
    return of(StoreVersion.absent(era), "");
  }

  /** Returns a row that does not exist as of the given version of the store. */
  public static StoredRow removedAsOf(StoreVersion version) {
    return new StoredRow(version, "", true);
  }

  /** Returns whether the row exists. */
  public boolean exists() {
    return !removed && version.exists();
  }

  /** Returns the version that a transaction must expect of the row. */
  public StoreVersion expectedVersion() {
    return removed ? StoreVersion.absent(version.era()) : version;
  }

  /**
   * Returns whether this state of a row is newer than another one. A store whose newest version is
   * that of a row contains the row unless it was removed since, so at equal versions the absence is
   * newer.
   */
  public boolean isNewerThan(StoredRow other) {
    int order = version.compareTo(other.version);
    return order > 0 || (order == 0 && removed && !other.removed);
  }

  /** Returns the same row, read in the given era. */
  public StoredRow inEra(StoreEra era) {
    return new StoredRow(StoreVersion.of(era, version.number()), value, removed);
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof StoredRow that
            && version.equals(that.version)
            && value.equals(that.value)
            && removed == that.removed);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * version.hashCode() + value.hashCode()) + (removed ? 1 : 0);
  }
}
