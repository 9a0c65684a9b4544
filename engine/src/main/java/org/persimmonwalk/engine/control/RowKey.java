package org.persimmonwalk.engine.control;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.KeyHash;

/** The table and key of a row in the platform's store. */
public record RowKey(String table, String key) {

  /** The limit of the store for a key, in bytes of UTF-8. */
  private static final int MAXIMUM_KEY_BYTES = 200;

  /** UTF-8 takes at most 3 bytes for a character of Java; a pair of surrogates takes 4. */
  private static final int MAXIMUM_BYTES_PER_CHARACTER = 3;

  private static final String HASH_PREFIX = "sha256:";

  /** The row that holds the configuration; the store adapter knows its actual name. */
  public static final RowKey CONFIGURATION = new RowKey("", "configuration");

  private static final String EVACUATION_TABLE = "evacuation";

  /** Leaves the store adapter 20 bytes of a key for what its rows have before the zone. */
  private static final int MAXIMUM_ZONE_BYTES = MAXIMUM_KEY_BYTES - 20;

  /** Returns the key of a row. */
  public static RowKey of(String table, String key) {
    return new RowKey(table, key);
  }

  /**
   * Returns the key of the row whose presence evacuates a zone; the store adapter knows its actual
   * name. Empty if no operator can write such a row: the name is too long for a key or has control
   * characters.
   */
  public static Optional<RowKey> ofEvacuation(AvailabilityZone zone) {
    String name = zone.value();
    boolean isWritable =
        name.getBytes(StandardCharsets.UTF_8).length <= MAXIMUM_ZONE_BYTES
            && name.chars().noneMatch(Character::isISOControl);
    return isWritable ? Optional.of(new RowKey(EVACUATION_TABLE, name)) : Optional.empty();
  }

  /** Returns whether the presence of the row evacuates the zone that is the row's key. */
  public boolean isEvacuation() {
    return table.equals(EVACUATION_TABLE);
  }

  /**
   * Returns the key of the row about something that has the given name. A name that is too long for
   * a key is replaced by its SHA-256 hash.
   */
  public static RowKey ofName(String table, String name) {
    // Keys are made in each round, so short names are not encoded to count their bytes.
    boolean fits =
        name.length() <= MAXIMUM_KEY_BYTES / MAXIMUM_BYTES_PER_CHARACTER
            || name.getBytes(StandardCharsets.UTF_8).length <= MAXIMUM_KEY_BYTES;
    return new RowKey(table, fits ? name : HASH_PREFIX + KeyHash.ofKey(name).value());
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof RowKey that && table.equals(that.table) && key.equals(that.key));
  }

  @Override
  public int hashCode() {
    return 31 * table.hashCode() + key.hashCode();
  }
}
