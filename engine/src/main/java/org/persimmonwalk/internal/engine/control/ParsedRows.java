package org.persimmonwalk.internal.engine.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoredRow;

/**
 * The content of rows of the store, parsed once for each version, because controllers look at the
 * rows of all groups and zones in each round.
 */
final class ParsedRows<T> {
  private final Function<StoredRow, T> parser;
  private final Map<RowKey, Parsed<T>> parsed = new HashMap<>();

  private ParsedRows(Function<StoredRow, T> parser) {
    this.parser = parser;
  }

  /** Returns a cache of the parser's results, which may depend on nothing but the row. */
  static <T> ParsedRows<T> of(Function<StoredRow, T> parser) {
    return new ParsedRows<>(parser);
  }

  /** Returns the parsed content of the newest version of the row that this host has seen. */
  T get(Blackboard blackboard, RowKey key) {
    return parse(key, KnownRows.row(blackboard, key));
  }

  /** Returns the parsed content of the row as last seen in any era of the store. */
  T getOfAnyEra(Blackboard blackboard, RowKey key) {
    return parse(key, KnownRows.rowOfAnyEra(blackboard, key));
  }

  /** Returns the parsed content of the row. */
  T parse(RowKey key, StoredRow row) {
    Parsed<T> known = parsed.get(key);
    if (known == null || !known.row().equals(row)) {
      known = new Parsed<>(row, parser.apply(row));
      parsed.put(key, known);
    }
    return known.content();
  }

  private record Parsed<T>(StoredRow row, T content) {}
}
