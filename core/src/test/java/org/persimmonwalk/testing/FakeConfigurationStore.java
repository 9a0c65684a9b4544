package org.persimmonwalk.testing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.persimmonwalk.id.ObjectName;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.model.RowValue;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.StoredConfiguration;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.VersionedRow;
import org.persimmonwalk.model.WriteOutcome;
import org.persimmonwalk.model.WriteResult;
import org.persimmonwalk.port.ObjectStore;
import org.persimmonwalk.port.TableService;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/**
 * An in-memory table service and object store that hold the configuration. Answers complete at
 * once; tests can make the store unreachable and drop requests or answers.
 */
public final class FakeConfigurationStore implements TableService, ObjectStore {
  private final Map<TableRow, VersionedRow> rows = new HashMap<>();
  private final Map<ObjectName, StoredConfiguration> objects = new HashMap<>();
  private Runnable beforeWrite = () -> {};
  private int lostAnswers;
  private int lostRequests;
  private boolean reachable = true;
  private long reads;

  /**
   * Runs an action once, immediately before the next compare-and-set takes effect, as a concurrent
   * writer would.
   */
  public void runBeforeNextWrite(Runnable action) {
    beforeWrite = action;
  }

  /** Applies the next compare-and-sets but reports their outcome as unknown. */
  public void loseAnswers(int count) {
    lostAnswers = count;
  }

  /** Drops the next compare-and-sets and reports their outcome as unknown. */
  public void loseRequests(int count) {
    lostRequests = count;
  }

  /** Makes all calls fail, or lets them succeed again. */
  public void setReachable(boolean newReachable) {
    reachable = newReachable;
  }

  /** Returns the number of reads of rows and objects so far. */
  public long reads() {
    return reads;
  }

  /**
   * Stores a configuration and makes it the current one, without publishing a release note and
   * whether the store is reachable or not.
   */
  public void install(Configuration configuration) {
    ObjectName name = ObjectName.of("installed-" + configuration.revision());
    Optional<ObjectName> previous = currentRow().map(ConfigurationRow::object);
    objects.put(name, StoredConfiguration.of(configuration, previous));
    put(
        ConfigurationRow.ROW,
        ConfigurationRow.of(configuration.revision(), configuration.note(), name));
  }

  /** Returns the current configuration, or an empty one if none was stored. */
  public Configuration current() {
    return currentRow()
        .map(row -> objects.get(row.object()).configuration())
        .orElse(Configuration.EMPTY);
  }

  @Override
  public CompletionStage<VersionedRow> read(TableRow row) {
    reads++;
    return reachable
        ? CompletableFuture.completedStage(rows.getOrDefault(row, VersionedRow.absent()))
        : unavailable();
  }

  @Override
  public CompletionStage<WriteResult> compareAndSet(
      TableRow row, RowVersion expected, RowValue value) {
    Runnable action = beforeWrite;
    beforeWrite = () -> {};
    action.run();
    RowVersion version = rows.getOrDefault(row, VersionedRow.absent()).version();
    if (!reachable) {
      return result(WriteOutcome.UNAVAILABLE, version);
    }
    if (lostRequests > 0) {
      lostRequests--;
      return result(WriteOutcome.UNKNOWN, version);
    }
    boolean written = version.equals(expected);
    if (written) {
      put(row, value);
    }
    if (lostAnswers > 0) {
      lostAnswers--;
      return result(WriteOutcome.UNKNOWN, version);
    }
    return result(written ? WriteOutcome.WRITTEN : WriteOutcome.CONFLICT, rows.get(row).version());
  }

  @Override
  public CompletionStage<Optional<StoredConfiguration>> get(ObjectName name) {
    reads++;
    return reachable
        ? CompletableFuture.completedStage(Optional.ofNullable(objects.get(name)))
        : unavailable();
  }

  @Override
  public CompletionStage<Void> put(ObjectName name, StoredConfiguration content) {
    if (!reachable) {
      return unavailable();
    }
    if (objects.putIfAbsent(name, content) != null) {
      throw new AssertionError(
          "object " + name + " is already stored; objects are never overwritten");
    }
    return CompletableFuture.completedStage(null);
  }

  private void put(TableRow row, RowValue value) {
    long version = rows.getOrDefault(row, VersionedRow.absent()).version().number();
    rows.put(row, VersionedRow.of(RowVersion.of(version + 1), value));
  }

  private Optional<ConfigurationRow> currentRow() {
    return Optional.ofNullable(rows.get(ConfigurationRow.ROW))
        .flatMap(VersionedRow::value)
        .map(ConfigurationRow.class::cast);
  }

  private static CompletionStage<WriteResult> result(WriteOutcome outcome, RowVersion version) {
    return CompletableFuture.completedStage(WriteResult.of(outcome, version));
  }

  private static <T> CompletionStage<T> unavailable() {
    return CompletableFuture.failedStage(
        PersimmonwalkException.of(
            ResultCode.PLATFORM_UNAVAILABLE, "the test has made the fake store unreachable"));
  }
}
