package org.persimmonwalk.blackboard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.persimmonwalk.port.CommandExecutor;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.RandomSource;

/**
 * Runs the controllers in rounds on one thread. In a round, each controller in turn processes the
 * observations queued so far; then the loop publishes a snapshot and executes the submitted
 * commands.
 *
 * <p>Any thread may call {@link #post} and {@link #snapshot}; only the control thread may call the
 * other methods.
 */
public final class ControlLoop {
  private static final int DROPPABLE_LIMIT = 16_384;

  private final Blackboard blackboard = Blackboard.create();
  private final BlockingQueue<Observation> queue = new LinkedBlockingQueue<>();
  private final List<SnapshotListener> listeners = new CopyOnWriteArrayList<>();
  private final AtomicLong dropped = new AtomicLong();
  private final List<Controller> controllers;
  private final CommandExecutor executor;
  private final MonotonicClock clock;
  private final RandomSource random;
  private volatile Snapshot snapshot;

  private ControlLoop(
      List<Controller> controllers,
      CommandExecutor executor,
      MonotonicClock clock,
      RandomSource random) {
    this.controllers = List.copyOf(controllers);
    this.executor = executor;
    this.clock = clock;
    this.random = random;
    this.snapshot = blackboard.snapshot(clock.now());
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

  /** Returns the newest published snapshot. */
  public Snapshot snapshot() {
    return snapshot;
  }

  /** Adds a listener, which is called on the control thread with each published snapshot. */
  public void addListener(SnapshotListener listener) {
    listeners.add(listener);
  }

  /**
   * Waits for an observation, at most for the given time, and then runs a round in either case.
   *
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public void awaitAndRunRound(Duration timeout) throws InterruptedException {
    Observation first = queue.poll(timeout.toNanos(), TimeUnit.NANOSECONDS);
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

  private void runRound(List<Observation> batch) {
    queue.drainTo(batch);
    blackboard.beginRound(batch);
    RoundContext context = RoundContext.of(clock.now(), random);
    for (Controller controller : controllers) {
      controller.run(blackboard, context);
    }
    snapshot = blackboard.snapshot(context.now());
    for (SnapshotListener listener : listeners) {
      listener.onPublished(snapshot);
    }
    for (Command command : blackboard.drainCommands()) {
      executor.execute(command);
    }
  }
}
