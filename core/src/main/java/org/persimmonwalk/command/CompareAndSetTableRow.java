package org.persimmonwalk.command;

import java.util.Objects;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.model.RowValue;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.TableRow;

/** Writes a table row if it still has the expected version. */
public record CompareAndSetTableRow(TableRow row, RowVersion expected, RowValue value)
    implements Command {

  /** Checks that all parts are present. */
  public CompareAndSetTableRow {
    Objects.requireNonNull(row, "row");
    Objects.requireNonNull(expected, "expected");
    Objects.requireNonNull(value, "value");
  }
}
