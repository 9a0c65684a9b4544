package org.persimmonwalk.engine.control;

/** The content of a row as last seen in the store, with its version. */
public record StoredRow(StoreVersion version, String value) {

  /** A row that does not exist. */
  public static final StoredRow ABSENT = absent(StoreEra.UNKNOWN);

  /** Returns a row with the given content. */
  public static StoredRow of(StoreVersion version, String value) {
    return new StoredRow(version, value);
  }

  /** Returns a row that doesn't exist, or hasn't been read, in the given era. */
  public static StoredRow absent(StoreEra era) {
    return new StoredRow(StoreVersion.absent(era), "");
  }

  /** Returns whether the row exists. */
  public boolean exists() {
    return version.exists();
  }

  /** Returns the same row, read in the given era. */
  public StoredRow inEra(StoreEra era) {
    return new StoredRow(StoreVersion.of(era, version.number()), value);
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof StoredRow that
            && version.equals(that.version)
            && value.equals(that.value));
  }

  @Override
  public int hashCode() {
    return 31 * version.hashCode() + value.hashCode();
  }
}
