package org.persimmonwalk.internal.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.function.Supplier;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.model.HostPhase;

/** Tells load balancers whether the host serves callers: status 200 if so, otherwise 503. */
final class HealthResource implements AdminResource {
  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final Supplier<Snapshot> snapshots;

  private HealthResource(Supplier<Snapshot> snapshots) {
    this.snapshots = snapshots;
  }

  static HealthResource of(Supplier<Snapshot> snapshots) {
    return new HealthResource(snapshots);
  }

  @Override
  public String method() {
    return "GET";
  }

  @Override
  public String path() {
    return "/health";
  }

  @Override
  public boolean isPublic() {
    return true;
  }

  @Override
  public AdminResponse handle() {
    HostPhase phase = snapshots.get().get(Entries.HOST_PHASE);
    return new AdminResponse(
        phase == HostPhase.SERVING ? OK : SERVICE_UNAVAILABLE,
        JsonNodeFactory.instance.objectNode().put("phase", phase.name()));
  }
}
