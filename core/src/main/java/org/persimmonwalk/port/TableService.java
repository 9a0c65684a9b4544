package org.persimmonwalk.port;

import java.util.concurrent.CompletionStage;
import org.persimmonwalk.model.RowValue;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.VersionedRow;
import org.persimmonwalk.model.WriteResult;

/** The platform's transactional table service. */
public interface TableService {

  /**
   * Reads a row. The stage fails with {@link org.persimmonwalk.result.PersimmonwalkException} if
   * the service does not answer.
   */
  CompletionStage<VersionedRow> read(TableRow row);

  /**
   * Replaces a row if it still has the expected version. The stage does not fail; the result says
   * whether the row was written, as far as this is known.
   */
  CompletionStage<WriteResult> compareAndSet(TableRow row, RowVersion expected, RowValue value);
}
