package org.persimmonwalk.internal.execution;

import java.util.function.Consumer;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.command.CompareAndSetTableRow;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.TableRowWritten;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.TableService;

/** Writes a row of the platform's table service if it still has the expected version. */
public final class CompareAndSetTableRowHandler implements CommandHandler<CompareAndSetTableRow> {
  private final TableService tables;
  private final MonotonicClock clock;
  private final Consumer<Observation> observations;

  private CompareAndSetTableRowHandler(
      TableService tables, MonotonicClock clock, Consumer<Observation> observations) {
    this.tables = tables;
    this.clock = clock;
    this.observations = observations;
  }

  /** Returns the handler. */
  public static CompareAndSetTableRowHandler of(
      TableService tables, MonotonicClock clock, Consumer<Observation> observations) {
    return new CompareAndSetTableRowHandler(tables, clock, observations);
  }

  @Override
  public void handle(CompareAndSetTableRow command) {
    MonotonicTime startedAt = clock.now();
    tables
        .compareAndSet(command.row(), command.expected(), command.value())
        .thenAccept(
            result ->
                observations.accept(
                    new TableRowWritten(
                        command.row(), result.outcome(), result.version(), startedAt)));
  }
}
