package org.persimmonwalk.testing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.command.CompareAndSetTableRow;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RowValue;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.WriteOutcome;
import org.persimmonwalk.observation.TableRowRead;
import org.persimmonwalk.observation.TableRowReadFailed;
import org.persimmonwalk.observation.TableRowWritten;
import org.persimmonwalk.port.RandomSource;

/**
 * A table service in simulated time, with 3 ms one-way latency. It can be down, drop answers to
 * writes and apply writes late.
 */
public final class FakeTableStore {
  private static final Duration ONE_WAY_LATENCY = Duration.ofMillis(3);

  private final SimulatedTime time;
  private final RandomSource random;
  private final Map<TableRow, RowVersion> versions = new HashMap<>();
  private final Map<TableRow, RowValue> values = new HashMap<>();
  private boolean down;
  private int lostAnswerPercent;
  private long reads;
  private long writes;

  /** Creates a store without rows. */
  public FakeTableStore(SimulatedTime time, RandomSource random) {
    this.time = time;
    this.random = random;
  }

  /** Sets whether the service is down; requests then fail. */
  public void setDown(boolean newDown) {
    down = newDown;
  }

  /**
   * Drops the answers to the given percentage of writes; the writer gets the outcome {@code
   * UNKNOWN}. Half of these writes take effect after a delay of 0 to 7 s.
   */
  public void setLostAnswerPercent(int percent) {
    lostAnswerPercent = percent;
  }

  /** Returns the value of a row. */
  public Optional<RowValue> value(TableRow row) {
    return Optional.ofNullable(values.get(row));
  }

  /** Returns how many reads and writes were requested. */
  public long requests() {
    return reads + writes;
  }

  /** Reads a row and delivers the answer after a round trip. */
  public void read(ReadTableRow command, MonotonicTime startedAt, Consumer<Observation> answer) {
    reads++;
    time.after(
        ONE_WAY_LATENCY,
        () -> {
          TableRow row = command.row();
          Observation result =
              down
                  ? new TableRowReadFailed(row, startedAt)
                  : new TableRowRead(row, version(row), value(row), startedAt);
          time.after(ONE_WAY_LATENCY, () -> answer.accept(result));
        });
  }

  /** Compares and sets a row and delivers the outcome after a round trip. */
  public void write(
      CompareAndSetTableRow command, MonotonicTime startedAt, Consumer<Observation> answer) {
    writes++;
    boolean lost = random.nextInt(100) < lostAnswerPercent;
    boolean late = lost && random.nextInt(2) == 0;
    time.after(
        late ? Duration.ofSeconds(random.nextInt(8)) : ONE_WAY_LATENCY,
        () -> {
          WriteOutcome outcome = down ? WriteOutcome.UNAVAILABLE : apply(command);
          if (!late) {
            WriteOutcome reported = lost ? WriteOutcome.UNKNOWN : outcome;
            TableRow row = command.row();
            Observation result = new TableRowWritten(row, reported, version(row), startedAt);
            time.after(ONE_WAY_LATENCY, () -> answer.accept(result));
          }
        });
    if (late) {
      Observation result =
          new TableRowWritten(command.row(), WriteOutcome.UNKNOWN, RowVersion.ABSENT, startedAt);
      time.after(ONE_WAY_LATENCY.multipliedBy(2), () -> answer.accept(result));
    }
  }

  private WriteOutcome apply(CompareAndSetTableRow command) {
    RowVersion current = version(command.row());
    if (!current.equals(command.expected())) {
      return WriteOutcome.CONFLICT;
    }
    versions.put(command.row(), RowVersion.of(current.number() + 1));
    values.put(command.row(), command.value());
    return WriteOutcome.WRITTEN;
  }

  private RowVersion version(TableRow row) {
    return versions.getOrDefault(row, RowVersion.ABSENT);
  }
}
