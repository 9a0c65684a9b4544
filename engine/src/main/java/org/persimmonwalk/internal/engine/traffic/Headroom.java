package org.persimmonwalk.internal.engine.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * How long the queue of a server may be while statements of a priority are sent to it, so that the
 * more urgent routes of its group keep their latency targets.
 */
final class Headroom {
  /**
   * An operation may open a connection for a transaction of BEGIN, a statement and COMMIT, each of
   * which waits in the server's queue; a third of the target is left for the work itself.
   */
  private static final double WAITS_PER_TARGET = 6;

  private static final double NANOS_PER_MILLI = 1e6;

  private final Map<DatabaseGroupId, TreeMap<Integer, Double>> shortestTargets = new HashMap<>();
  private RoutingConfiguration computedFrom = RoutingConfiguration.NONE;

  /**
   * Returns the longest wait in milliseconds at which statements of the priority are sent without a
   * limit; empty if no route of the group is more urgent. Each further level of priority has a
   * smaller part, so that the lowest level makes room first, at all hosts.
   */
  OptionalDouble millis(RoutingConfiguration configuration, DatabaseGroupId group, int priority) {
    if (configuration != computedFrom) {
      compute(configuration);
    }
    Map<Integer, Double> moreUrgent =
        shortestTargets.getOrDefault(group, new TreeMap<>()).headMap(priority);
    if (moreUrgent.isEmpty()) {
      return OptionalDouble.empty();
    }
    double shortest = Double.MAX_VALUE;
    for (double target : moreUrgent.values()) {
      shortest = Math.min(shortest, target);
    }
    return OptionalDouble.of(shortest / WAITS_PER_TARGET / moreUrgent.size());
  }

  /** Returns whether the group has a route that is less urgent than the priority. */
  boolean hasLessUrgent(RoutingConfiguration configuration, DatabaseGroupId group, int priority) {
    if (configuration != computedFrom) {
      compute(configuration);
    }
    return shortestTargets.getOrDefault(group, new TreeMap<>()).higherKey(priority) != null;
  }

  /** Returns whether the routes of the group have different priorities. */
  boolean hasSeveralLevels(RoutingConfiguration configuration, DatabaseGroupId group) {
    if (configuration != computedFrom) {
      compute(configuration);
    }
    return shortestTargets.getOrDefault(group, new TreeMap<>()).size() > 1;
  }

  private void compute(RoutingConfiguration configuration) {
    shortestTargets.clear();
    for (Route route : configuration.routes().values()) {
      shortestTargets
          .computeIfAbsent(route.group(), unused -> new TreeMap<>())
          .merge(route.priority(), route.latencyTarget().toNanos() / NANOS_PER_MILLI, Math::min);
    }
    computedFrom = configuration;
  }
}
