package org.persimmonwalk.engine.testing;

import java.time.Duration;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.SocketEndpoint;

/** Server entries and their changes, as the servers themselves make them. */
public final class ServerEntries {

  private ServerEntries() {}

  /** Returns the entry of a server with three slots in the zone "a". */
  static ServerEntry of(String id, DatabaseGroupId group, boolean primary) {
    return new ServerEntry(
        BackendServerId.of(id),
        group,
        SocketEndpoint.of("10.0.0.1", 1000),
        AvailabilityZone.of("a"),
        3,
        false,
        primary,
        1);
  }

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
