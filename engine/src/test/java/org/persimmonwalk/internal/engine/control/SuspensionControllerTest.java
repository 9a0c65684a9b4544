package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.HostResumed;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.RecordingCommandExecutor;

class SuspensionControllerTest {
  private final FakeClock clock = new FakeClock();
  private final AtomicLong wallClockMillis = new AtomicLong(1_000_000);
  private final SuspensionDetector detector =
      SuspensionDetector.of(clock, wallClockMillis::get, Duration.ofMillis(250));
  private final SuspensionController controller = SuspensionController.create(detector);
  private final AtomicInteger readerRuns = new AtomicInteger();
  private final ControlLoop loop =
      ControlLoop.of(
          List.of(controller, new Reader()),
          new RecordingCommandExecutor(),
          clock,
          RandomSource.seeded(1));

  /** Guards against controllers that are skipped in the first round after a suspension. */
  @Test
  void shouldLetReadersActInTheRoundThatNoticesASuspension() {
    loop.runRound();
    wallClockMillis.addAndGet(5000);
    clock.advance(Duration.ofMillis(1));
    loop.runRound();
    assertThat(readerRuns).hasValue(2);
    assertThat(loop.snapshot().get(EngineEntries.RESUMED_AT)).contains(clock.now());
  }

  /** Guards against a host without traffic that notices a suspension more than 100 ms late. */
  @Test
  void shouldCompareTheClocksRegularly() {
    NextRun next = controller.nextRun(Blackboard.create(), clock.now());
    assertThat(next.at()).isPresent();
    assertThat(next.at().get().since(clock.now())).isLessThan(Duration.ofMillis(100));
  }

  /** Guards against tokens that are spent until the control thread compares the clocks itself. */
  @Test
  void shouldStartARoundWhenTheTrafficThreadNoticesASuspension() {
    detector.whenResumed(() -> loop.post(new HostResumed()));
    loop.runRound();
    wallClockMillis.addAndGet(5000);
    clock.advance(Duration.ofMillis(1));
    detector.lastResumedAt();
    loop.runRound();
    assertThat(readerRuns).hasValue(2);
  }

  private final class Reader implements Controller {
    @Override
    public void run(Blackboard blackboard, RoundContext context) {
      readerRuns.incrementAndGet();
    }

    @Override
    public Optional<Inputs> inputs() {
      return Optional.of(Inputs.ofEntries(EngineEntries.RESUMED_AT));
    }

    @Override
    public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
      return NextRun.onInput();
    }
  }
}
