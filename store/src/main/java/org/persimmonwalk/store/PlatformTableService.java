package org.persimmonwalk.store;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.persimmonwalk.model.RowValue;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.VersionedRow;
import org.persimmonwalk.model.WriteResult;
import org.persimmonwalk.port.TableService;

/** Reads and writes rows of the platform's table service; a table holds rows of one type. */
public final class PlatformTableService implements TableService {
  private final PlatformClient client;
  private final Map<String, RowCodec<?>> codecs;

  private PlatformTableService(PlatformClient client, Map<String, RowCodec<?>> codecs) {
    this.client = client;
    this.codecs = Map.copyOf(codecs);
  }

  /** Returns a service that uses the client and the given codecs by table name. */
  public static PlatformTableService of(PlatformClient client, Map<String, RowCodec<?>> codecs) {
    return new PlatformTableService(client, codecs);
  }

  @Override
  public CompletionStage<VersionedRow> read(TableRow row) {
    return client.readRow(row, codec(row));
  }

  @Override
  public CompletionStage<WriteResult> compareAndSet(
      TableRow row, RowVersion expected, RowValue value) {
    return compareAndSet(row, expected, value, codec(row));
  }

  private <T extends RowValue> CompletionStage<WriteResult> compareAndSet(
      TableRow row, RowVersion expected, RowValue value, RowCodec<T> codec) {
    if (!codec.type().isInstance(value)) {
      throw new IllegalArgumentException(
          "table " + row.table() + " holds rows of type " + codec.type().getSimpleName());
    }
    return client.compareAndSet(row, expected, codec.type().cast(value), codec);
  }

  private RowCodec<?> codec(TableRow row) {
    RowCodec<?> codec = codecs.get(row.table());
    if (codec == null) {
      throw new IllegalArgumentException("no codec for table " + row.table());
    }
    return codec;
  }
}
