package org.persimmonwalk.engine.control;

import java.time.Duration;
import java.util.List;
import org.persimmonwalk.engine.ServerEntry;

/**
 * The backend servers as a relay lists them.
 *
 * @param revision changes with the entries; never 0, and other for each process
 * @param age the time since the list was read
 * @param entries empty if the asking host has this revision already
 */
public record ServerList(long revision, Duration age, List<ServerEntry> entries) {

  /** Makes the list immutable. */
  public ServerList {
    entries = List.copyOf(entries);
  }
}
