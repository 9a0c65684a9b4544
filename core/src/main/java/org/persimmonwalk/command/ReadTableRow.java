package org.persimmonwalk.command;

import java.util.Objects;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.model.TableRow;

/** Asks the platform for the version and value of a table row. */
public record ReadTableRow(TableRow row) implements Command {

  /** Checks that all parts are present. */
  public ReadTableRow {
    Objects.requireNonNull(row, "row");
  }
}
