package org.persimmonwalk.engine.testing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.testing.FakeClock;

/**
 * Fake of the platform's store. Runs conditional transactions and lists the servers' entries. It
 * can come back from an older copy of itself: the versions of rows go back, and the operator and
 * the servers write again what they had written.
 */
final class FakeRowStore {
  /** The age of the oldest copy that is kept. */
  private static final Duration HISTORY = Duration.ofSeconds(10);

  final Map<RowKey, StoredRow> rows = new HashMap<>();
  private final FakeClock clock;
  private final Map<BackendServerId, ServerEntry> entries;
  private final Deque<Copy> copies = new ArrayDeque<>();
  private Optional<Map<BackendServerId, ServerEntry>> restoredEntries = Optional.empty();
  private StoreEra era;
  private long nextVersion = 1;
  private RoutingConfiguration configuration;
  private RoutingConfiguration published;
  private final Map<RowKey, String> evacuations = new HashMap<>();

  /**
   * Creates an empty store.
   *
   * @param entries what the servers say of themselves
   * @param era the era that the store tells; unknown if it tells none
   */
  FakeRowStore(FakeClock clock, Map<BackendServerId, ServerEntry> entries, StoreEra era) {
    this.clock = clock;
    this.entries = entries;
    this.era = era;
  }

  StoreEra era() {
    return era;
  }

  long nextVersion() {
    return nextVersion;
  }

  /** Writes a configuration, as the operator does. */
  void publish(RoutingConfiguration changed) {
    configuration = changed;
    published = changed;
    write(RowKey.CONFIGURATION, "");
  }

  /** Writes the row that evacuates a zone, as the operator does. */
  void evacuate(RowKey key) {
    evacuations.put(key, "{}");
    write(key, "{}");
  }

  /** Removes the row that evacuates a zone. */
  void takeBack(RowKey key) {
    evacuations.remove(key);
    rows.remove(key);
    nextVersion++;
  }

  void write(RowKey key, String text) {
    rows.put(key, StoredRow.of(StoreVersion.of(era, nextVersion++), text));
  }

  /** Returns the entries in the list of servers. */
  List<ServerEntry> listedEntries() {
    return List.copyOf(restoredEntries.orElse(entries).values());
  }

  /** Keeps a copy of the present state, from which the store may come back later. */
  void keepCopy() {
    if (!era.isKnown()) {
      return;
    }
    MonotonicTime now = clock.now();
    copies.addLast(
        new Copy(
            now,
            Map.copyOf(rows),
            Map.copyOf(listedMap()),
            nextVersion,
            Optional.of(configuration)));
    while (now.since(copies.getFirst().at()).compareTo(HISTORY) > 0) {
      copies.removeFirst();
    }
  }

  private Map<BackendServerId, ServerEntry> listedMap() {
    return restoredEntries.orElse(entries);
  }

  /** Goes back to the newest copy that is at least as old as given; its era rises by one. */
  void comeBackFromCopy(Duration age) {
    MonotonicTime newest = clock.now().minus(age);
    Copy copy = copies.getFirst();
    for (Copy kept : copies) {
      copy = kept.at().isAfter(newest) ? copy : kept;
    }
    era = StoreEra.of(era.number() + 1);
    rows.clear();
    rows.putAll(copy.rows());
    nextVersion = copy.nextVersion();
    configuration = copy.configuration().orElseThrow();
    restoredEntries = Optional.of(copy.entries());
    copies.clear();
    keepCopy();
  }

  /** Lets the operator and the servers write again what the store has lost. */
  void writeLostRowsAgain() {
    restoredEntries = Optional.empty();
    if (configuration.version() != published.version()) {
      publish(published);
    }
    evacuations.forEach(
        (key, text) -> {
          if (!rows.containsKey(key)) {
            write(key, text);
          }
        });
  }

  TransactionAnswered run(RunTransaction transaction, Duration travelTime) {
    MonotonicTime now = clock.now();
    StoreTime time = new StoreTime(now.nanoseconds() / 1_000_000, now.minus(travelTime), now);
    boolean holds =
        transaction.expected().entrySet().stream()
            .allMatch(entry -> number(entry.getKey()) == entry.getValue().number());
    Map<RowKey, StoredRow> returnedRows = new HashMap<>();
    if (holds) {
      StoreVersion version = StoreVersion.of(era, nextVersion++);
      transaction
          .writes()
          .forEach((key, text) -> returnedRows.put(key, StoredRow.of(version, text)));
      rows.putAll(returnedRows);
      transaction.expected().keySet().stream()
          .filter(key -> key.isEvacuation() && !rows.containsKey(key))
          .forEach(key -> returnedRows.put(key, StoredRow.removedAsOf(version)));
    } else {
      transaction
          .expected()
          .keySet()
          .forEach(
              key ->
                  returnedRows.put(
                      key, rows.getOrDefault(key, missing(key, nextVersion - 1)).inEra(era)));
    }
    return new TransactionAnswered(
        transaction,
        holds ? TransactionResult.APPLIED : TransactionResult.CONFLICT,
        returnedRows,
        holds || !transaction.expected().containsKey(RowKey.CONFIGURATION)
            ? Optional.empty()
            : Optional.of(configuration),
        era,
        Optional.of(time));
  }

  private static StoredRow missing(RowKey key, long newestVersion) {
    return key.isEvacuation()
        ? StoredRow.removedAsOf(StoreVersion.of(StoreEra.UNKNOWN, newestVersion))
        : StoredRow.ABSENT;
  }

  private long number(RowKey key) {
    return rows.getOrDefault(key, StoredRow.ABSENT).version().number();
  }

  private record Copy(
      MonotonicTime at,
      Map<RowKey, StoredRow> rows,
      Map<BackendServerId, ServerEntry> entries,
      long nextVersion,
      Optional<RoutingConfiguration> configuration) {}
}
