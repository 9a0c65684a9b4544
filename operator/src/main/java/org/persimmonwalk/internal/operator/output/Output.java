package org.persimmonwalk.internal.operator.output;

import java.util.Map;
import org.persimmonwalk.result.PersimmonwalkException;

/** Prints what a command found or did. */
public interface Output {

  /** Prints rows. */
  void table(Table table);

  /** Prints named values in their order. */
  void result(Map<String, Object> values);

  /** Prints that a command goes on; not a part of its result. */
  void progress(String text);

  /** Prints a failure. */
  void failure(PersimmonwalkException failure);
}
