package org.persimmonwalk.engine.testing;

import java.util.Map;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;

/** Evacuates zones, takes them back and places servers in them, as an operator does. */
public final class FakeOperator {
  private final FakeRowStore store;
  private final Map<BackendServerId, ServerEntry> entries;

  FakeOperator(FakeRowStore store, Map<BackendServerId, ServerEntry> entries) {
    this.store = store;
    this.entries = entries;
  }

  /** Writes the row that evacuates a zone. */
  public void evacuate(String zone) {
    store.evacuate(RowKey.ofEvacuation(AvailabilityZone.of(zone)).orElseThrow());
  }

  /** Removes the row that evacuates a zone. */
  public void takeBack(String zone) {
    store.takeBack(RowKey.ofEvacuation(AvailabilityZone.of(zone)).orElseThrow());
  }

  /** Moves a server's entry to a zone. */
  public void place(String id, String zone) {
    entries.computeIfPresent(
        BackendServerId.of(id),
        (server, entry) ->
            new ServerEntry(
                server,
                entry.group(),
                entry.endpoint(),
                AvailabilityZone.of(zone),
                entry.slots(),
                entry.draining(),
                entry.primary(),
                entry.startedAtMillis()));
  }
}
