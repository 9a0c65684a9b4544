package org.persimmonwalk.internal.assembly;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.blackboard.SnapshotListener;
import org.persimmonwalk.model.HostPhase;

/**
 * Lets a thread wait until the host has finished draining. It must be registered as a listener of
 * the control loop.
 */
public final class StopWaiter implements SnapshotListener {
  private final CountDownLatch stopped = new CountDownLatch(1);

  private StopWaiter() {}

  /** Returns a waiter for a host that has not stopped. */
  public static StopWaiter create() {
    return new StopWaiter();
  }

  @Override
  public void onPublished(Snapshot snapshot) {
    if (snapshot.get(Entries.HOST_PHASE) == HostPhase.STOPPED) {
      stopped.countDown();
    }
  }

  /**
   * Waits until the host has finished draining.
   *
   * @return whether draining finished within the given time
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public boolean await(Duration timeout) throws InterruptedException {
    return stopped.await(timeout.toNanos(), TimeUnit.NANOSECONDS);
  }
}
