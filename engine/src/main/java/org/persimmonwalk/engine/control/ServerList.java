package org.persimmonwalk.engine.control;

import java.time.Duration;
import java.util.List;
import org.persimmonwalk.engine.ServerEntry;

/**
 * The list of backend servers in a reply of the relay.
 *
 * @param revision changes with the entries; never 0, and different for each process
 * @param age the time since the list was read from the store
 * @param entries empty if the requesting host already has this revision
 */
public record ServerList(long revision, Duration age, List<ServerEntry> entries) {

  /** Makes the list immutable. */
  public ServerList {
    entries = List.copyOf(entries);
  }
}
