package org.persimmonwalk.blackboard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.CommandExecutor;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.RandomSource;

/**
 * Runs the controllers in rounds on one thread. In a round, each controller that has something to
 * do processes in turn the observations queued so far; then the loop publishes a snapshot, if an
 * entry has changed, and executes the submitted commands. With a controller that does not declare
 * its inputs, each round publishes a snapshot.
 *
 * <p>Any thread may call {@link #post}, {@link #snapshot} and the counters; only the control thread
 * may call the other methods.
 */
public final class ControlLoop {
  private static final int DROPPABLE_LIMIT = 16_384;

  /**
   * The shortest wait before a round without observations. Times that follow each other closely are
   * handled together, and a controller whose times are wrong can't keep the thread busy.
   */
  static final Duration SHORTEST_WAIT = Duration.ofMillis(10);

  /** The longest wait; none of the controllers has a time that is due before. */
  private static final Duration LONGEST_WAIT = Duration.ofMinutes(1);

  private final Blackboard blackboard = Blackboard.create();
  private final BlockingQueue<Observation> queue = new LinkedBlockingQueue<>();
  private final List<SnapshotListener> listeners = new CopyOnWriteArrayList<>();
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong rounds = new AtomicLong();
  private final AtomicLong controllerRuns = new AtomicLong();
  private final List<ScheduledController> controllers;
  private final boolean allDeclared;
  private final CommandExecutor executor;
  private final MonotonicClock clock;
  private final RandomSource random;
  private Optional<SkipCheck> check = Optional.empty();
  private volatile Snapshot snapshot;

  private ControlLoop(
      List<Controller> controllers,
      CommandExecutor executor,
      MonotonicClock clock,
      RandomSource random) {
    this.controllers = controllers.stream().map(ScheduledController::new).toList();
    this.allDeclared = this.controllers.stream().allMatch(ScheduledController::isDeclared);
    this.executor = executor;
    this.clock = clock;
    this.random = random;
    this.snapshot = blackboard.snapshot(clock.now());
    Map<EntryKey<?>, List<ScheduledController>> readers = new HashMap<>();
    for (ScheduledController controller : this.controllers) {
      for (EntryKey<?> entry : controller.entries()) {
        readers.computeIfAbsent(entry, unused -> new ArrayList<>()).add(controller);
      }
    }
    blackboard.whenChanged(
        (entry, old, value) -> {
          readers.getOrDefault(entry, List.of()).forEach(ScheduledController::entryChanged);
          check.ifPresent(skipCheck -> skipCheck.entryChanged(entry, old, value));
        });
  }

  /** Returns a loop that runs the controllers in the given order. */
  public static ControlLoop of(
      List<Controller> controllers,
      CommandExecutor executor,
      MonotonicClock clock,
      RandomSource random) {
    return new ControlLoop(controllers, executor, clock, random);
  }

  /**
   * Makes the loop also run each controller that it would skip, and throw an {@link AssertionError}
   * if that changes an entry or submits a command. For tests: it shows a controller that forgets an
   * input or a time.
   */
  public void checkSkippedControllers() {
    check = Optional.of(new SkipCheck(blackboard));
  }

  /**
   * Queues an observation for the next round. A droppable observation is dropped and counted
   * instead if 16,384 or more observations are queued.
   */
  public void post(Observation observation) {
    if (observation.isDroppable() && queue.size() >= DROPPABLE_LIMIT) {
      dropped.incrementAndGet();
      return;
    }
    queue.add(observation);
  }

  /** Returns the number of observations dropped since the start. */
  public long droppedObservations() {
    return dropped.get();
  }

  /** Returns the number of rounds since the start. */
  public long rounds() {
    return rounds.get();
  }

  /** Returns the number of runs of controllers since the start. */
  public long controllerRuns() {
    return controllerRuns.get();
  }

  /** Returns the newest published snapshot. */
  public Snapshot snapshot() {
    return snapshot;
  }

  /** Adds a listener, which is called on the control thread with each published snapshot. */
  public void addListener(SnapshotListener listener) {
    listeners.add(listener);
  }

  /**
   * Waits for an observation or until a controller must run, and then runs a round.
   *
   * @param roundInterval the wait for a controller that must run in the next round, which may be
   *     one that does not declare its inputs
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public void awaitAndRunRound(Duration roundInterval) throws InterruptedException {
    Observation first =
        queue.poll(longestWait(clock.now(), roundInterval).toNanos(), TimeUnit.NANOSECONDS);
    List<Observation> batch = new ArrayList<>();
    if (first != null) {
      batch.add(first);
    }
    runRound(batch);
  }

  /** Runs a round with the queued observations, also if there are none. */
  public void runRound() {
    runRound(new ArrayList<>());
  }

  /** Returns the time after which a round must start even if there is no observation. */
  Duration longestWait(MonotonicTime now, Duration roundInterval) {
    MonotonicTime earliest = now.plus(LONGEST_WAIT);
    for (ScheduledController controller : controllers) {
      Optional<MonotonicTime> at = controller.nextRunAt(now);
      if (at.isPresent() && at.get().isBefore(earliest)) {
        earliest = at.get();
      }
    }
    // A time that has passed was handled in the last round and asks for a later one.
    if (!earliest.isAfter(now)) {
      return roundInterval;
    }
    Duration wait = earliest.since(now);
    return wait.compareTo(SHORTEST_WAIT) < 0 ? SHORTEST_WAIT : wait;
  }

  private void runRound(List<Observation> batch) {
    queue.drainTo(batch);
    blackboard.beginRound(batch);
    rounds.incrementAndGet();
    RoundContext context = RoundContext.of(clock.now(), random);
    if (!batch.isEmpty()) {
      controllers.forEach(controller -> controller.receive(batch));
    }
    for (ScheduledController controller : controllers) {
      if (controller.mustRun(context.now())) {
        controllerRuns.incrementAndGet();
        controller.run(blackboard, context);
      } else if (check.isPresent()) {
        check.get().run(controller, context);
      }
    }
    if (!allDeclared || !blackboard.isPublished()) {
      publish(context.now());
    }
    for (Command command : blackboard.drainCommands()) {
      executor.execute(command);
    }
  }

  private void publish(MonotonicTime now) {
    snapshot = blackboard.snapshot(now);
    for (SnapshotListener listener : listeners) {
      listener.onPublished(snapshot);
    }
  }
}
