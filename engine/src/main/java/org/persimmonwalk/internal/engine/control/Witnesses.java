package org.persimmonwalk.internal.engine.control;

import java.util.Map;
import java.util.TreeMap;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.id.EntryHostId;

/**
 * The hosts that have stated that they cannot reach a server, with the store's time of each
 * statement.
 */
record Witnesses(String server, Map<String, Long> statedAt) {
  private static final String SEPARATOR = " ";
  private static final String STATED = "@";

  /** Reads the row; statements on another process than the given one do not count. */
  static Witnesses parse(String text, ServerEntry server) {
    String name = server.id() + "/" + server.startedAtMillis();
    Map<String, Long> statements = new TreeMap<>();
    String[] parts = text.split(SEPARATOR);
    if (parts[0].equals(name)) {
      for (int i = 1; i < parts.length; i++) {
        int at = parts[i].lastIndexOf(STATED);
        statements.put(parts[i].substring(0, at), Long.parseLong(parts[i].substring(at + 1)));
      }
    }
    return new Witnesses(name, statements);
  }

  /** Adds a statement and drops those that are too old. */
  Witnesses with(EntryHostId host, long storeMillis, long validMillis) {
    Map<String, Long> statements = new TreeMap<>(statedAt);
    statements.values().removeIf(at -> at + validMillis < storeMillis);
    statements.put(host.value(), storeMillis);
    return new Witnesses(server, statements);
  }

  int count() {
    return statedAt.size();
  }

  String text() {
    StringBuilder text = new StringBuilder(server);
    statedAt.forEach((host, at) -> text.append(SEPARATOR).append(host).append(STATED).append(at));
    return text.toString();
  }
}
