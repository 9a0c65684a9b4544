package org.persimmonwalk.engine.control;

import org.persimmonwalk.engine.GroupSettings;

/**
 * How many requests all hosts together may send to a cold server in any second: the rate that its
 * group states times the overage, plus the slack.
 */
public record ColdBounds(double overage, double slack) {

  /** Returns the requests that one of the zones may send in any second, rounded down. */
  public int zonePart(GroupSettings group, int zoneCount) {
    return (int) Math.floor((group.coldRequestsPerSecond() * overage + slack) / zoneCount);
  }
}
