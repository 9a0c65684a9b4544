package org.persimmonwalk.internal.admin;

import java.util.function.Supplier;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.internal.settings.Settings;
import org.persimmonwalk.port.MonotonicClock;

/** Returns the state of this host and its view of servers and peers, from the newest snapshot. */
final class StateResource implements AdminResource {
  private final Settings.Host host;
  private final Supplier<Snapshot> snapshots;
  private final MonotonicClock clock;

  private StateResource(Settings.Host host, Supplier<Snapshot> snapshots, MonotonicClock clock) {
    this.host = host;
    this.snapshots = snapshots;
    this.clock = clock;
  }

  static StateResource of(Settings.Host host, Supplier<Snapshot> snapshots, MonotonicClock clock) {
    return new StateResource(host, snapshots, clock);
  }

  @Override
  public String method() {
    return "GET";
  }

  @Override
  public String path() {
    return "/state";
  }

  @Override
  public AdminResponse handle() {
    return AdminResponse.ok(StateDocument.of(host, snapshots.get(), clock.now()).toJson());
  }
}
