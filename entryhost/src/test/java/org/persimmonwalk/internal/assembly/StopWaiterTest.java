package org.persimmonwalk.internal.assembly;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;

class StopWaiterTest {
  private final StopWaiter waiter = StopWaiter.create();

  private void publish(HostPhase phase) {
    ControlLoop loop =
        ControlLoop.of(
            List.of((blackboard, context) -> blackboard.put(Entries.HOST_PHASE, phase)),
            command -> {},
            new FakeClock(),
            RandomSource.seeded(1));
    loop.addListener(waiter);
    loop.runRound();
  }

  /** Guards against a process that exits while sessions are still being drained. */
  @Test
  void shouldKeepWaitingWhileHostDrains() throws InterruptedException {
    publish(HostPhase.DRAINING);

    assertThat(waiter.await(Duration.ZERO)).isFalse();
  }

  /** Guards against a process that keeps running after draining has finished. */
  @Test
  void shouldEndWaitOnceHostHasStopped() throws InterruptedException {
    publish(HostPhase.STOPPED);

    assertThat(waiter.await(Duration.ZERO)).isTrue();
  }
}
