package org.persimmonwalk.internal.operator.output;

import java.util.Map;
import org.persimmonwalk.result.PersimmonwalkException;

/** Prints the results, the progress and the failure of a subcommand. */
public interface Output {

  /** Prints a table as a result. */
  void table(Table table);

  /** Prints named values as a result, in the order of the map. */
  void result(Map<String, Object> values);

  /** Prints a progress message, which is not part of the result. */
  void progress(String text);

  /** Prints the failure that ended the subcommand. */
  void failure(PersimmonwalkException failure);
}
