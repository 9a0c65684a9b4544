package org.persimmonwalk.internal.engine.traffic;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.id.AvailabilityZone;

/** Logs when this host has no connection to the servers of an evacuated zone any more. */
final class DrainedZones {
  private final Set<AvailabilityZone> drained = new HashSet<>();

  void update(TrafficContext context, Predicate<AvailabilityZone> hasConnections) {
    Set<AvailabilityZone> evacuated = context.entry(EngineEntries.EVACUATIONS).deadlines().keySet();
    if (evacuated.isEmpty()) {
      drained.clear();
      return;
    }
    drained.retainAll(evacuated);
    evacuated.stream()
        .filter(zone -> !drained.contains(zone) && !hasConnections.test(zone))
        .forEach(
            zone -> {
              drained.add(zone);
              context.log().write("evacuation-drained", "zone", zone);
            });
  }
}
