package org.persimmonwalk.bench.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.internal.store.ConfigurationFormat;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.model.RowValue;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.StoredConfiguration;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.VersionedRow;
import org.persimmonwalk.model.WriteOutcome;
import org.persimmonwalk.store.RowCodec;
import org.persimmonwalk.store.RowCodecs;

/** Simulates the platform's table service and object store; keeps rows in memory, as JSON. */
final class SimulatedStore {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Map<String, RowCodec<?>> codecs = RowCodecs.standard();
  private final Map<TableRow, StoredRow> rows = new HashMap<>();
  private final byte[] configuration;
  private StoreCounts counts = StoreCounts.NONE;

  private record StoredRow(long version, byte[] content) {}

  private SimulatedStore(byte[] configuration) {
    this.configuration = configuration;
  }

  /** Returns a store that holds the given configuration and the row that refers to it. */
  static SimulatedStore of(Configuration configuration, ConfigurationRow row) {
    byte[] object =
        ConfigurationFormat.create()
            .encode(StoredConfiguration.of(configuration, Optional.empty()));
    SimulatedStore store = new SimulatedStore(object);
    store.rows.put(ConfigurationRow.ROW, new StoredRow(1, store.encode(ConfigurationRow.ROW, row)));
    return store;
  }

  VersionedRow read(TableRow row) {
    counts = counts.plusRead(row.equals(ConfigurationRow.ROW));
    StoredRow stored = rows.get(row);
    return stored == null
        ? VersionedRow.absent()
        : VersionedRow.of(RowVersion.of(stored.version()), decode(row, stored.content()));
  }

  WriteOutcome compareAndSet(TableRow row, RowVersion expected, RowValue value) {
    byte[] content = encode(row, value);
    StoredRow stored = rows.get(row);
    long version = stored == null ? 0 : stored.version();
    boolean matches = version == expected.number();
    counts = counts.plusWrite(matches);
    if (matches) {
      rows.put(row, new StoredRow(version + 1, content));
    }
    return matches ? WriteOutcome.WRITTEN : WriteOutcome.CONFLICT;
  }

  Configuration loadConfiguration() {
    return ConfigurationFormat.create().decode(configuration).configuration();
  }

  void countHostList() {
    counts = counts.plusHostList();
  }

  /** Returns the size of a row in bytes, or 0 if it does not exist. */
  int rowBytes(TableRow row) {
    StoredRow stored = rows.get(row);
    return stored == null ? 0 : stored.content().length;
  }

  /** Returns the size of all rows and of the configuration object in bytes. */
  long totalBytes() {
    return configuration.length
        + rows.values().stream().mapToLong(stored -> stored.content().length).sum();
  }

  int configurationBytes() {
    return configuration.length;
  }

  StoreCounts counts() {
    return counts;
  }

  private byte[] encode(TableRow row, RowValue value) {
    try {
      return JSON.writeValueAsBytes(tree(codecs.get(row.table()), value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("row " + row + " cannot be encoded as JSON", e);
    }
  }

  private static <T extends RowValue> Object tree(RowCodec<T> codec, RowValue value) {
    return codec.encode(codec.type().cast(value));
  }

  private RowValue decode(TableRow row, byte[] content) {
    try {
      return codecs.get(row.table()).decode(JSON.readTree(content));
    } catch (IOException e) {
      throw new IllegalStateException("row " + row + " cannot be decoded from JSON", e);
    }
  }
}
