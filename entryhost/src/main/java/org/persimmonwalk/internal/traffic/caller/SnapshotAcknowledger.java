package org.persimmonwalk.internal.traffic.caller;

import java.util.function.Consumer;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.SampleRequested;
import org.persimmonwalk.port.MonotonicClock;

/** Acknowledges a write once a snapshot shows that a replica has received it. */
public final class SnapshotAcknowledger implements Acknowledger {
  private final ControlLoop control;
  private final SnapshotWaiters waiters;
  private final MonotonicClock clock;

  private SnapshotAcknowledger(ControlLoop control, SnapshotWaiters waiters, MonotonicClock clock) {
    this.control = control;
    this.waiters = waiters;
    this.clock = clock;
  }

  /** Returns an acknowledger that reads the snapshots of the control loop. */
  public static SnapshotAcknowledger of(
      ControlLoop control, SnapshotWaiters waiters, MonotonicClock clock) {
    return new SnapshotAcknowledger(control, waiters, clock);
  }

  @Override
  public void await(
      DatabaseGroupId group,
      GroupPosition written,
      MonotonicTime deadline,
      Consumer<Boolean> result) {
    GroupView view = control.snapshot().get(Entries.GROUPS).get(group);
    if (view != null && view.isReceivedByReplica(written)) {
      result.accept(true);
    } else if (!clock.now().isBefore(deadline)) {
      result.accept(false);
    } else {
      control.post(new SampleRequested(group));
      waiters.onNextSnapshot(() -> await(group, written, deadline, result));
    }
  }
}
