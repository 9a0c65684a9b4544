package org.persimmonwalk.internal.execution;

import java.util.function.Consumer;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.TableRowRead;
import org.persimmonwalk.observation.TableRowReadFailed;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.TableService;

/** Reads a row of the platform's table service. */
public final class ReadTableRowHandler implements CommandHandler<ReadTableRow> {
  private final TableService tables;
  private final MonotonicClock clock;
  private final Consumer<Observation> observations;

  private ReadTableRowHandler(
      TableService tables, MonotonicClock clock, Consumer<Observation> observations) {
    this.tables = tables;
    this.clock = clock;
    this.observations = observations;
  }

  /** Returns the handler. */
  public static ReadTableRowHandler of(
      TableService tables, MonotonicClock clock, Consumer<Observation> observations) {
    return new ReadTableRowHandler(tables, clock, observations);
  }

  @Override
  public void handle(ReadTableRow command) {
    MonotonicTime startedAt = clock.now();
    tables
        .read(command.row())
        .whenComplete(
            (row, failure) ->
                observations.accept(
                    failure == null
                        ? new TableRowRead(command.row(), row.version(), row.value(), startedAt)
                        : new TableRowReadFailed(command.row(), startedAt)));
  }
}
