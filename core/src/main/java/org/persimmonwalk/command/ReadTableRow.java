package org.persimmonwalk.command;

import java.util.Objects;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.model.TableRow;

/** Reads a row of the table service. */
public record ReadTableRow(TableRow row) implements Command {
  /** Checks that the row is present. */
  public ReadTableRow {
    Objects.requireNonNull(row, "row");
  }
}
