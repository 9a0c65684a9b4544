package org.persimmonwalk.internal.engine.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.PreparedName;
import org.persimmonwalk.engine.StatementTemplate;

/** The statements that are prepared on one backend connection, for all sessions that use it. */
final class PreparedStatements {
  private final Map<StatementTemplate, PreparedName> names = new HashMap<>();

  /** Names stay unused after {@link #clear}, so that none ever refers to two statements. */
  private long namesGiven;

  /** Returns the name of a prepared statement; empty if it is not prepared. */
  Optional<PreparedName> name(StatementTemplate template) {
    return Optional.ofNullable(names.get(template));
  }

  /** Adds a statement that is about to be prepared, and returns its name. */
  PreparedName add(StatementTemplate template) {
    PreparedName name = PreparedName.of(++namesGiven);
    names.put(template, name);
    return name;
  }

  /** Forgets all statements. */
  void clear() {
    names.clear();
  }
}
