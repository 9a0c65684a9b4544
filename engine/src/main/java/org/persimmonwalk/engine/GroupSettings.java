package org.persimmonwalk.engine;

import java.time.Duration;

/**
 * Settings of a database group.
 *
 * @param maximumConnections the number of connections that each of its servers accepts from all
 *     hosts together
 * @param synchronousReplicas the number of replicas that must receive a commit before it is
 *     acknowledged
 * @param coldRequestsPerSecond the requests per second that a server can run while it is cold
 * @param coldStart how long a server is cold after its start; zero if it never is
 */
public record GroupSettings(
    int maximumConnections,
    int synchronousReplicas,
    double coldRequestsPerSecond,
    Duration coldStart) {

  /** Creates the settings of a group whose servers are never cold. */
  public GroupSettings(int maximumConnections, int synchronousReplicas) {
    this(maximumConnections, synchronousReplicas, 0, Duration.ZERO);
  }

  /** Returns whether a server is slow for some time after its start. */
  public boolean startsCold() {
    return !coldStart.isZero();
  }
}
