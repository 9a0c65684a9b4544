package org.persimmonwalk.model;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Immutable copies of maps in the order of their keys. For maps whose order decides something: that
 * of {@link Map#copyOf} differs between processes.
 */
public final class SortedCopies {

  private SortedCopies() {}

  /** Returns a copy in the order of the keys. */
  public static <K extends Comparable<? super K>, V> Map<K, V> of(
      Map<? extends K, ? extends V> map) {
    return map.isEmpty()
        ? Map.of()
        : Collections.unmodifiableMap(new LinkedHashMap<>(new TreeMap<>(map)));
  }
}
