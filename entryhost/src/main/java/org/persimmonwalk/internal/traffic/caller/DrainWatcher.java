package org.persimmonwalk.internal.traffic.caller;

import java.time.Duration;
import java.util.function.Consumer;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.blackboard.SnapshotListener;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.OpenSessionsCounted;

/**
 * Closes idle caller connections while the host drains, and reports how many are still open. Runs
 * on the control thread.
 */
public final class DrainWatcher implements SnapshotListener {
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

  private final CallerRegistry registry;
  private final Consumer<Observation> observations;
  private MonotonicTime lastReport = MonotonicTime.of(0);

  private DrainWatcher(CallerRegistry registry, Consumer<Observation> observations) {
    this.registry = registry;
    this.observations = observations;
  }

  /** Returns a watcher that reports to the given consumer. */
  public static DrainWatcher of(CallerRegistry registry, Consumer<Observation> observations) {
    return new DrainWatcher(registry, observations);
  }

  @Override
  public void onPublished(Snapshot snapshot) {
    boolean due = snapshot.roundStartedAt().since(lastReport).compareTo(REPORT_INTERVAL) >= 0;
    if (due && snapshot.get(Entries.HOST_PHASE) == HostPhase.DRAINING) {
      lastReport = snapshot.roundStartedAt();
      registry.drain();
      observations.accept(new OpenSessionsCounted(registry.size()));
    }
  }
}
