package org.persimmonwalk.internal.operator.command;

import java.util.LinkedHashMap;
import java.util.Map;

/** Builds the named values of a result. */
final class Results {

  private Results() {}

  /** Returns a map, in the given order, of names and values that alternate in the arguments. */
  static Map<String, Object> of(Object... namesAndValues) {
    Map<String, Object> values = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      values.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return values;
  }
}
