package org.persimmonwalk.observation;

import java.util.List;
import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The platform's host list was read. The list may lag.
 *
 * @param hosts all hosts of the list, live and leaving
 * @param startedAt when the read started
 */
public record HostsListed(List<HostEntry> hosts, MonotonicTime startedAt) implements Observation {

  /** Copies the list. */
  public HostsListed {
    hosts = List.copyOf(hosts);
    Objects.requireNonNull(startedAt, "startedAt");
  }
}
