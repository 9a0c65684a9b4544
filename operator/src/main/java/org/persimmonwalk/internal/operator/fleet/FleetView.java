package org.persimmonwalk.internal.operator.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.persimmonwalk.blackboard.EntryKey;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.result.PersimmonwalkException;

/**
 * What is known of the hosts that are asked.
 *
 * @param answers the newest answer of each host that has answered or failed
 * @param reached the number of hosts that have reached the goal
 * @param ended whether all hosts have reached the goal or the time is over
 */
public record FleetView(Map<SocketEndpoint, HostAnswer> answers, int reached, boolean ended) {
  static final EntryKey<FleetView> ENTRY = EntryKey.of("fleet", new FleetView(Map.of(), 0, false));

  /** Copies the map and keeps its order. */
  public FleetView {
    answers = Collections.unmodifiableMap(new LinkedHashMap<>(answers));
  }

  /** Returns the reports of the hosts that have answered. */
  public List<HostReport> reports() {
    List<HostReport> reports = new ArrayList<>();
    for (HostAnswer answer : answers.values()) {
      if (answer instanceof HostAnswer.Reported reported) {
        reports.add(reported.report());
      }
    }
    return reports;
  }

  /** Returns why the other hosts have not answered. */
  public List<PersimmonwalkException> failures() {
    List<PersimmonwalkException> failures = new ArrayList<>();
    for (HostAnswer answer : answers.values()) {
      if (answer instanceof HostAnswer.Failed failed) {
        failures.add(failed.cause());
      }
    }
    return failures;
  }
}
