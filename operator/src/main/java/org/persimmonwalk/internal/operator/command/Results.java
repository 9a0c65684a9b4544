package org.persimmonwalk.internal.operator.command;

import java.util.LinkedHashMap;
import java.util.Map;

/** Named values in the order in which they are given. */
final class Results {

  private Results() {}

  /** Returns the values, given as names and values in turn. */
  static Map<String, Object> of(Object... namesAndValues) {
    Map<String, Object> values = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      values.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return values;
  }
}
