package org.persimmonwalk.internal.engine.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.KeptBytes;
import org.persimmonwalk.engine.StatementTemplate;

/**
 * The variables and prepared statements of one session, within the limits for sessions and counted
 * with the connection of its caller.
 */
final class SessionContents {
  private final SessionStorage storage;
  private final Map<String, String> variables = new HashMap<>();
  private final Map<String, StatementTemplate> statements = new HashMap<>();
  private final KeptBytes kept;
  private long bytes;
  private boolean ended;

  SessionContents(SessionStorage storage, KeptBytes kept) {
    this.storage = storage;
    this.kept = kept;
  }

  /** Sets a variable; returns why it may not be set, and then nothing has changed. */
  Optional<String> setVariable(String name, String value) {
    String former = variables.get(name);
    long formerBytes = former == null ? 0 : name.length() + former.length();
    Optional<String> refusal =
        reserve(former == null, (long) name.length() + value.length() - formerBytes);
    if (refusal.isEmpty()) {
      variables.put(name, value);
    }
    return refusal;
  }

  /** Adds a prepared statement; returns why it may not be added, and then nothing has changed. */
  Optional<String> prepare(String name, StatementTemplate template) {
    StatementTemplate former = statements.get(name);
    long formerBytes = former == null ? 0 : name.length() + former.text().length();
    Optional<String> refusal =
        reserve(former == null, (long) name.length() + template.text().length() - formerBytes);
    if (refusal.isEmpty()) {
      statements.put(name, template);
    }
    return refusal;
  }

  private Optional<String> reserve(boolean newEntry, long added) {
    if (newEntry && variables.size() + statements.size() >= storage.limits().entriesPerSession()) {
      return Optional.of(
          "the session holds "
              + storage.limits().entriesPerSession()
              + " variables and statements");
    }
    if (added > 0 && bytes + added > storage.limits().bytesPerSession()) {
      return Optional.of(
          "the session may hold " + storage.limits().bytesPerSession() + " bytes, not more");
    }
    if (!storage.reserve(added)) {
      return Optional.of("the sessions of this host hold as much as they may");
    }
    if (!kept.keep(added + (newEntry ? KeptBytes.ENTRY_BYTES : 0))) {
      storage.release(added);
      return Optional.of("the host has no memory for it");
    }
    bytes += added;
    return Optional.empty();
  }

  /** Removes a prepared statement; returns whether there was one. */
  boolean deallocate(String name) {
    StatementTemplate removed = statements.remove(name);
    if (removed == null) {
      return false;
    }
    long length = (long) name.length() + removed.text().length();
    release(length);
    kept.release(length + KeptBytes.ENTRY_BYTES);
    return true;
  }

  /** Returns a prepared statement; empty if there is none of the name. */
  Optional<StatementTemplate> statement(String name) {
    return Optional.ofNullable(statements.get(name));
  }

  Map<String, String> variables() {
    return variables;
  }

  /**
   * Makes room for other sessions; called when the session ends. A statement that still waits to be
   * admitted then must not run without the variables, so they are kept as long as the session is.
   */
  void sessionEnded() {
    if (!ended) {
      ended = true;
      int entries = variables.size() + statements.size();
      kept.release(bytes + entries * KeptBytes.ENTRY_BYTES);
      release(bytes);
    }
  }

  private void release(long removed) {
    bytes -= removed;
    storage.release(removed);
  }
}
