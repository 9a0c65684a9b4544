package org.persimmonwalk.engine.control;

import java.util.Map;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The zones that an operator has evacuated.
 *
 * @param deadlines until when this host may still use the servers of each zone for what only they
 *     can run
 */
public record Evacuations(Map<AvailabilityZone, MonotonicTime> deadlines) {

  /** No zone is evacuated. */
  public static final Evacuations NONE = new Evacuations(Map.of());

  /** Makes the map immutable. */
  public Evacuations {
    deadlines = Map.copyOf(deadlines);
  }

  /** Returns whether the zone of the server is evacuated. */
  public boolean isEvacuated(ServerEntry server) {
    return deadlines.containsKey(server.zone());
  }

  /** Returns whether nothing may be sent to the server any more. */
  public boolean isPastDeadline(ServerEntry server, MonotonicTime now) {
    MonotonicTime deadline = deadlines.get(server.zone());
    return deadline != null && !now.isBefore(deadline);
  }
}
