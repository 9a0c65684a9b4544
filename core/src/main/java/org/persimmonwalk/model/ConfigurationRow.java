package org.persimmonwalk.model;

import java.util.Objects;
import org.persimmonwalk.id.ObjectName;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;

/**
 * The table row that refers to the object of the current configuration.
 *
 * @param revision the current revision
 * @param note the release note that produced it
 * @param object the object that holds the configuration
 */
public record ConfigurationRow(Revision revision, ReleaseNoteId note, ObjectName object)
    implements RowValue {

  /** The table and key of the row. */
  public static final TableRow ROW = TableRow.of("configuration", "current");

  /** Checks that all parts are present. */
  public ConfigurationRow {
    Objects.requireNonNull(revision, "revision");
    Objects.requireNonNull(note, "note");
    Objects.requireNonNull(object, "object");
  }

  /** Returns the row with the given content. */
  public static ConfigurationRow of(Revision revision, ReleaseNoteId note, ObjectName object) {
    return new ConfigurationRow(revision, note, object);
  }
}
