package org.persimmonwalk.engine.testing;

import java.time.Duration;
import org.persimmonwalk.engine.ServerEntry;

/** Changes of server entries, as the servers themselves make them. */
public final class ServerEntries {

  private ServerEntries() {}

  /** Returns the entry of the same process in the given role. */
  public static ServerEntry withRole(ServerEntry entry, boolean primary) {
    return new ServerEntry(
        entry.id(),
        entry.group(),
        entry.endpoint(),
        entry.zone(),
        entry.slots(),
        entry.draining(),
        primary,
        entry.startedAtMillis(),
        entry.coldLeft());
  }

  /** Returns the entry of the next process of the server. */
  public static ServerEntry restarted(ServerEntry entry, Duration coldLeft) {
    return new ServerEntry(
        entry.id(),
        entry.group(),
        entry.endpoint(),
        entry.zone(),
        entry.slots(),
        entry.draining(),
        entry.primary(),
        entry.startedAtMillis() + 1,
        coldLeft);
  }
}
