package org.persimmonwalk.internal.engine.control;

import java.util.Map;
import java.util.TreeMap;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.id.EntryHostId;

/**
 * The suspicion row of a group: which hosts have reported that they can't reach the primary.
 *
 * @param process the server and the start of its process, which tells restarts apart
 * @param reportedAt the store's time of the report of each host
 */
record UnreachableReports(String process, Map<String, Long> reportedAt) {
  private static final String SEPARATOR = " ";
  private static final String TIME_SEPARATOR = "@";

  /** Parses the row; ignores reports on another server or on an earlier process of this one. */
  static UnreachableReports parse(String text, ServerEntry server) {
    String process = server.id() + "/" + server.startedAtMillis();
    Map<String, Long> reports = new TreeMap<>();
    String[] parts = text.split(SEPARATOR);
    if (parts[0].equals(process)) {
      for (int i = 1; i < parts.length; i++) {
        int at = parts[i].lastIndexOf(TIME_SEPARATOR);
        reports.put(parts[i].substring(0, at), Long.parseLong(parts[i].substring(at + 1)));
      }
    }
    return new UnreachableReports(process, reports);
  }

  /** Returns a copy with the report of a host added and expired reports removed. */
  UnreachableReports with(EntryHostId host, long storeMillis, long validMillis) {
    Map<String, Long> reports = new TreeMap<>(reportedAt);
    reports.values().removeIf(at -> at + validMillis < storeMillis);
    reports.put(host.value(), storeMillis);
    return new UnreachableReports(process, reports);
  }

  int count() {
    return reportedAt.size();
  }

  String text() {
    StringBuilder text = new StringBuilder(process);
    reportedAt.forEach(
        (host, at) -> text.append(SEPARATOR).append(host).append(TIME_SEPARATOR).append(at));
    return text.toString();
  }
}
