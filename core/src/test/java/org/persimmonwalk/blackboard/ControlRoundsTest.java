package org.persimmonwalk.blackboard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.RecordingCommandExecutor;

/** Which controllers a round runs, and when the next round starts. */
class ControlRoundsTest {
  private static final Duration INTERVAL = Duration.ofMillis(50);
  private static final EntryKey<Integer> COUNT = EntryKey.of("count", 0);

  private final FakeClock clock = new FakeClock();
  private final RecordingCommandExecutor executor = new RecordingCommandExecutor();

  /**
   * Guards against a change of the controllers that were written before there were declarations.
   */
  @Test
  void shouldRunAControllerThatDeclaresNothingInEachRound() {
    List<Long> published = new ArrayList<>();
    List<MonotonicTime> runs = new ArrayList<>();
    ControlLoop loop = loop((blackboard, context) -> runs.add(context.now()));
    loop.addListener(snapshot -> published.add(snapshot.round()));
    loop.runRound();
    loop.runRound();
    assertThat(runs).hasSize(2);
    assertThat(published).containsExactly(1L, 2L);
    assertThat(loop.longestWait(clock.now(), INTERVAL)).isEqualTo(INTERVAL);
  }

  /** Guards against rounds that cost processor time although nothing is to be done. */
  @Test
  void shouldSkipAControllerWithoutInputAndPublishNothing() {
    List<Long> published = new ArrayList<>();
    FakeController idle = new FakeController(Inputs.ofObservations(Tick.class));
    ControlLoop loop = loop(idle);
    loop.addListener(snapshot -> published.add(snapshot.round()));
    loop.runRound();
    loop.post(new OtherTick());
    loop.runRound();
    assertThat(idle.runs).isEqualTo(1);
    assertThat(loop.rounds()).isEqualTo(2);
    assertThat(loop.controllerRuns()).isEqualTo(1);
    assertThat(published).isEmpty();
    assertThat(loop.longestWait(clock.now(), INTERVAL)).isGreaterThan(Duration.ofSeconds(10));
  }

  /** Guards against an observation that its reader misses. */
  @Test
  void shouldRunTheReadersOfAnObservation() {
    FakeController reader = new FakeController(Inputs.ofObservations(Tick.class));
    FakeController other = new FakeController(Inputs.ofObservations(OtherTick.class));
    ControlLoop loop = loop(reader, other);
    loop.runRound();
    loop.post(new Tick());
    loop.runRound();
    assertThat(reader.runs).isEqualTo(2);
    assertThat(other.runs).isEqualTo(1);
  }

  /** Guards against an entry whose change only the controllers after its writer notice. */
  @Test
  void shouldRunTheReadersOfAChangedEntryBeforeAndAfterItsWriter() {
    FakeController before = new FakeController(Inputs.ofEntries(COUNT));
    FakeController writer = new FakeController(Inputs.ofObservations(Tick.class));
    FakeController after = new FakeController(Inputs.ofEntries(COUNT));
    ControlLoop loop = loop(before, writer, after);
    loop.runRound();
    writer.action = blackboard -> blackboard.put(COUNT, 1000);
    loop.post(new Tick());
    loop.runRound();
    assertThat(before.runs).isEqualTo(1);
    assertThat(after.runs).isEqualTo(2);
    assertThat(loop.snapshot().get(COUNT)).isEqualTo(1000);
    assertThat(loop.longestWait(clock.now(), INTERVAL)).isEqualTo(INTERVAL);
    loop.runRound();
    assertThat(before.runs).isEqualTo(2);
    assertThat(after.runs).isEqualTo(2);
  }

  /** Guards against a late timer. */
  @Test
  void shouldWaitUntilTheEarliestTimeAndRunThatControllerAlone() {
    FakeController late = new FakeController(Inputs.ofEntries());
    late.next = (blackboard, now) -> NextRun.at(now.plus(Duration.ofSeconds(3)));
    FakeController early = new FakeController(Inputs.ofEntries());
    early.next =
        (blackboard, now) ->
            NextRun.onInput()
                .orAfter(now, Duration.ofMillis(700), now)
                .orAt(now.plus(Duration.ofMillis(900)));
    ControlLoop loop = loop(late, early);
    loop.runRound();
    assertThat(loop.longestWait(clock.now(), INTERVAL)).isEqualTo(Duration.ofMillis(700));
    clock.advance(Duration.ofMillis(700));
    loop.runRound();
    assertThat(early.runs).isEqualTo(2);
    assertThat(late.runs).isEqualTo(1);
  }

  /** Guards against a thread that spins because a controller asks for the present time again. */
  @Test
  void shouldNotWaitLessThanAMinimum() {
    FakeController hasty = new FakeController(Inputs.ofEntries());
    hasty.next = (blackboard, now) -> NextRun.at(now.plus(Duration.ofNanos(1)));
    ControlLoop loop = loop(hasty);
    loop.runRound();
    assertThat(loop.longestWait(clock.now(), INTERVAL)).isEqualTo(ControlLoop.SHORTEST_WAIT);
    clock.advance(Duration.ofMillis(1));
    assertThat(loop.longestWait(clock.now(), INTERVAL)).isEqualTo(INTERVAL);
  }

  /** Guards against a suspension that goes unnoticed until the controller itself is due. */
  @Test
  void shouldRunAControllerThatReadsSomethingOutsideInEachRound() {
    FakeController outside = new FakeController(Inputs.outside());
    outside.next = (blackboard, now) -> NextRun.at(now.plus(Duration.ofMillis(90)));
    ControlLoop loop = loop(outside);
    loop.runRound();
    loop.post(new Tick());
    loop.runRound();
    assertThat(outside.runs).isEqualTo(2);
    assertThat(loop.longestWait(clock.now(), INTERVAL)).isEqualTo(Duration.ofMillis(90));
  }

  /** Guards against a controller that stops for good after one failure. */
  @Test
  void shouldRunAFailedControllerAgainInTheNextRound() {
    FakeController failing = new FakeController(Inputs.ofEntries());
    failing.action =
        blackboard -> {
          throw new IllegalStateException("fault of the test");
        };
    ControlLoop loop = loop(failing);
    assertThatThrownBy(loop::runRound).isInstanceOf(IllegalStateException.class);
    assertThat(loop.longestWait(clock.now(), INTERVAL)).isEqualTo(INTERVAL);
    failing.action = blackboard -> blackboard.put(COUNT, 1);
    loop.runRound();
    assertThat(loop.snapshot().get(COUNT)).isEqualTo(1);
  }

  /** Guards against a check that misses an entry that a controller forgot to declare. */
  @Test
  void shouldFailTheCheckIfASkippedControllerChangesAnEntry() {
    FakeController forgetful = new FakeController(Inputs.ofEntries());
    ControlLoop loop = loop(forgetful);
    loop.checkSkippedControllers();
    loop.runRound();
    loop.runRound();
    forgetful.action = blackboard -> blackboard.put(COUNT, 1);
    assertThatThrownBy(loop::runRound)
        .isInstanceOf(AssertionError.class)
        .hasMessageContaining("changed count from 0 to 1");
  }

  /** Guards against a check that misses a command, or a time that would have been earlier. */
  @Test
  void shouldFailTheCheckIfASkippedControllerSubmitsOrIsDueEarlier() {
    FakeController forgetful = new FakeController(Inputs.ofEntries());
    ControlLoop loop = loop(forgetful);
    loop.checkSkippedControllers();
    loop.runRound();
    forgetful.action = blackboard -> blackboard.submit(new Act());
    forgetful.next = (blackboard, now) -> NextRun.at(now.plus(Duration.ofSeconds(1)));
    assertThatThrownBy(loop::runRound)
        .isInstanceOf(AssertionError.class)
        .hasMessageContaining("submitted Act")
        .hasMessageContaining("must run at");
  }

  private ControlLoop loop(Controller... controllers) {
    return ControlLoop.of(List.of(controllers), executor, clock, RandomSource.seeded(1));
  }

  private record Tick() implements Observation {}

  private record OtherTick() implements Observation {}

  private record Act() implements Command {}

  /** Does and declares what the test says. */
  private static final class FakeController implements Controller {
    private final Inputs inputs;
    private Consumer<Blackboard> action = blackboard -> {};
    private BiFunction<Blackboard, MonotonicTime, NextRun> next =
        (blackboard, now) -> NextRun.onInput();
    private int runs;

    private FakeController(Inputs inputs) {
      this.inputs = inputs;
    }

    @Override
    public void run(Blackboard blackboard, RoundContext context) {
      runs++;
      action.accept(blackboard);
    }

    @Override
    public Optional<Inputs> inputs() {
      return Optional.of(inputs);
    }

    @Override
    public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
      return next.apply(blackboard, now);
    }
  }
}
