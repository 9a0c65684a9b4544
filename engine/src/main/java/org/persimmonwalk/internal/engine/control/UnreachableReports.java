package org.persimmonwalk.internal.engine.control;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
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

  /**
   * A host, whose name may contain the separator, and the store's time in milliseconds, of which 15
   * digits last for 30,000 years.
   */
  private static final Pattern REPORT = Pattern.compile("([^ ]+)" + TIME_SEPARATOR + "(\\d{1,15})");

  /**
   * Parses the row; ignores reports that can't be read, and those on another server or on an
   * earlier process of this one.
   */
  static UnreachableReports parse(String text, ServerEntry server) {
    String process = server.id() + "/" + server.startedAtMillis();
    Map<String, Long> reports = new TreeMap<>();
    // A negative limit keeps empty parts; a text of blanks would otherwise have no part at all.
    String[] parts = text.split(SEPARATOR, -1);
    if (parts[0].equals(process)) {
      for (int i = 1; i < parts.length; i++) {
        addReport(reports, parts[i]);
      }
    }
    return new UnreachableReports(process, reports);
  }

  private static void addReport(Map<String, Long> reports, String part) {
    Matcher report = REPORT.matcher(part);
    if (report.matches()) {
      reports.put(report.group(1), Long.parseLong(report.group(2)));
    }
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
