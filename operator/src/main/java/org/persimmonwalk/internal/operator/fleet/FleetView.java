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
 * The progress of a poll: the results so far and whether it has ended.
 *
 * @param results the newest result of each host, in the order of the command line; hosts without a
 *     completed request are absent
 * @param reached the number of hosts that have reached the goal
 * @param ended whether all hosts have reached the goal or the time limit has passed
 */
public record FleetView(Map<SocketEndpoint, HostPollResult> results, int reached, boolean ended) {
  static final EntryKey<FleetView> ENTRY = EntryKey.of("fleet", new FleetView(Map.of(), 0, false));

  /** Copies the map and keeps its order. */
  public FleetView {
    results = Collections.unmodifiableMap(new LinkedHashMap<>(results));
  }

  /** Returns the reports of the hosts whose newest request succeeded. */
  public List<HostReport> reports() {
    List<HostReport> reports = new ArrayList<>();
    for (HostPollResult result : results.values()) {
      if (result instanceof HostPollResult.Reported reported) {
        reports.add(reported.report());
      }
    }
    return reports;
  }

  /** Returns the causes for the hosts whose newest request failed. */
  public List<PersimmonwalkException> failures() {
    List<PersimmonwalkException> failures = new ArrayList<>();
    for (HostPollResult result : results.values()) {
      if (result instanceof HostPollResult.Failed failed) {
        failures.add(failed.cause());
      }
    }
    return failures;
  }
}
