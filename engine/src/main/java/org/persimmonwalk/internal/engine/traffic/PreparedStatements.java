package org.persimmonwalk.internal.engine.traffic;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.KeptBytes;
import org.persimmonwalk.engine.PreparedName;
import org.persimmonwalk.engine.StatementTemplate;

/**
 * The statements that are prepared on one backend connection, for all sessions that use it. They
 * outlive the sessions, so their number and length are limited.
 */
final class PreparedStatements {
  /** A workspace uses tens of statements; more on a connection belong to sessions that ended. */
  static final int MAXIMUM_COUNT = 200;

  private static final float LOAD_FACTOR = 0.75f;

  private final long maximumBytes;

  /** In the order of their last use. */
  private final Map<StatementTemplate, PreparedName> names =
      new LinkedHashMap<>(16, LOAD_FACTOR, true);

  private long bytes;

  /** Names stay unused after {@link #clear}, so that none ever refers to two statements. */
  private long namesGiven;

  /**
   * Creates an empty set.
   *
   * @param maximumBytes the limit for the length of the statements; one may exceed it alone
   */
  PreparedStatements(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /** Returns the name of a prepared statement; empty if it is not prepared. */
  Optional<PreparedName> name(StatementTemplate template) {
    return Optional.ofNullable(names.get(template));
  }

  /**
   * Forgets the statements that were not used for the longest time until there is room for another
   * one, and returns their names.
   */
  List<PreparedName> makeRoom(StatementTemplate template) {
    List<PreparedName> removed = new ArrayList<>();
    Iterator<Map.Entry<StatementTemplate, PreparedName>> oldest = names.entrySet().iterator();
    while (oldest.hasNext()
        && (names.size() >= MAXIMUM_COUNT || bytes + template.text().length() > maximumBytes)) {
      Map.Entry<StatementTemplate, PreparedName> entry = oldest.next();
      removed.add(entry.getValue());
      bytes -= entry.getKey().text().length();
      oldest.remove();
    }
    return removed;
  }

  /** Adds a statement that is about to be prepared, and returns its name. */
  PreparedName add(StatementTemplate template) {
    PreparedName name = PreparedName.of(++namesGiven);
    names.put(template, name);
    bytes += template.text().length();
    return name;
  }

  /** Returns what the statements take of the heap. */
  long keptBytes() {
    return bytes + names.size() * KeptBytes.ENTRY_BYTES;
  }

  /** Forgets all statements. */
  void clear() {
    names.clear();
    bytes = 0;
  }
}
