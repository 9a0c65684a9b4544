package org.persimmonwalk.internal.standin.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.IntConsumer;

/**
 * Limits how many statements a server executes at once. A statement that reads or writes a table
 * waits for a free slot, occupies it for the service time and takes effect at its end; other
 * statements run at once. A statement that meets a locked row gives up its slot and is retried when
 * a transaction ends. Used on the engine thread.
 */
public final class StatementQueue {
  private final GroupEngine engine;
  private final Timers timers;
  private final int slots;
  private final IntConsumer concurrencyListener;
  private final Deque<StatementTask> waiting = new ArrayDeque<>();
  private final Set<StatementTask> running = new LinkedHashSet<>();
  private final Deque<StatementTask> dueDuringPause = new ArrayDeque<>();
  private final Set<StatementTask> lockWaiters = new LinkedHashSet<>();
  private Duration serviceTime;
  private boolean paused;
  private int answersToLose;

  private StatementQueue(
      GroupEngine engine,
      Timers timers,
      int slots,
      Duration serviceTime,
      IntConsumer concurrencyListener) {
    this.engine = engine;
    this.timers = timers;
    this.slots = slots;
    this.serviceTime = serviceTime;
    this.concurrencyListener = concurrencyListener;
  }

  /**
   * Returns an empty queue.
   *
   * @param concurrencyListener is called with the number of occupied slots each time that it rises
   */
  public static StatementQueue create(
      GroupEngine engine,
      Timers timers,
      int slots,
      Duration serviceTime,
      IntConsumer concurrencyListener) {
    Objects.requireNonNull(concurrencyListener, "concurrencyListener");
    return new StatementQueue(engine, timers, slots, serviceTime, concurrencyListener);
  }

  /** Runs a statement as soon as a slot is free, or at once if it needs none. */
  public void submit(StatementTask task) {
    if (!task.statement().usesSlot()) {
      execute(task);
      return;
    }
    waiting.add(task);
    startQueued();
  }

  /** Sets how long a statement occupies its slot; statements that run already are not affected. */
  public void setServiceTime(Duration time) {
    serviceTime = Objects.requireNonNull(time, "time");
  }

  /** Keeps statements that need a slot from starting or taking effect, or lets them continue. */
  public void setPaused(boolean pause) {
    paused = pause;
    while (!paused && !dueDuringPause.isEmpty()) {
      finish(dueDuringPause.remove());
    }
    startQueued();
  }

  /**
   * Makes the listener of the next table statement or commit that succeeds cut its connection in
   * the middle of the answer. Each call affects one more answer.
   */
  public void loseNextAnswer() {
    answersToLose++;
  }

  /** Cancels the session's statement with SQLSTATE 57014 if it has not taken effect. */
  public void cancel(Session session) {
    StatementTask task = remove(session);
    if (task != null) {
      engine.failTransaction(session);
      SqlException cancelled = SqlException.of("57014", "canceling statement due to user request");
      task.listener().onFailure(cancelled);
    }
  }

  /**
   * Drops the session's statement, closes the session and retries statements that wait for locks.
   */
  public void close(Session session) {
    remove(session);
    engine.close(session);
    retryLockWaiters();
  }

  private StatementTask remove(Session session) {
    StatementTask task = find(session);
    if (task != null) {
      task.cancelTimer();
      waiting.remove(task);
      dueDuringPause.remove(task);
      lockWaiters.remove(task);
      if (running.remove(task)) {
        startQueued();
      }
    }
    return task;
  }

  private StatementTask find(Session session) {
    List<StatementTask> all = new ArrayList<>(waiting);
    all.addAll(running);
    all.addAll(lockWaiters);
    return all.stream().filter(task -> task.session() == session).findFirst().orElse(null);
  }

  private void startQueued() {
    while (!paused && running.size() < slots && !waiting.isEmpty()) {
      StatementTask task = waiting.remove();
      running.add(task);
      concurrencyListener.accept(running.size());
      if (serviceTime.isZero()) {
        finish(task);
      } else {
        task.setTimer(timers.schedule(serviceTime, () -> finish(task)));
      }
    }
  }

  private void finish(StatementTask task) {
    if (paused) {
      dueDuringPause.add(task);
      return;
    }
    running.remove(task);
    execute(task);
    startQueued();
  }

  private void execute(StatementTask task) {
    boolean inTransaction = task.session().inTransaction();
    try {
      Execution execution = engine.execute(task.session(), task.statement(), task.parameters());
      if (execution instanceof Execution.LockWait wait) {
        awaitLock(task, wait.holder());
      } else if (execution instanceof Execution.Answer answer) {
        task.listener().onAnswer(answer, consumeAnswerLoss(task.statement()));
      }
    } catch (SqlException failure) {
      task.listener().onFailure(failure);
    }
    if (inTransaction && !task.session().inTransaction()) {
      retryLockWaiters();
    }
  }

  private boolean consumeAnswerLoss(Statement statement) {
    boolean eligible = statement.usesSlot() || statement instanceof Statement.Commit;
    if (!eligible || answersToLose == 0) {
      return false;
    }
    answersToLose--;
    return true;
  }

  private void awaitLock(StatementTask task, Session holder) {
    lockWaiters.add(task);
    task.setLockHolder(holder);
    if (waitsFor(holder, task.session())) {
      lockWaiters.remove(task);
      engine.failTransaction(task.session());
      task.listener().onFailure(SqlException.of("40P01", "deadlock detected"));
    }
  }

  private boolean waitsFor(Session waiter, Session target) {
    Session current = waiter;
    for (int steps = 0; steps <= lockWaiters.size() && current != null; steps++) {
      if (current == target) {
        return true;
      }
      current = awaitedLockHolder(current);
    }
    return false;
  }

  private Session awaitedLockHolder(Session waiter) {
    for (StatementTask task : lockWaiters) {
      if (task.session() == waiter) {
        return task.lockHolder();
      }
    }
    return null;
  }

  private void retryLockWaiters() {
    List<StatementTask> tasks = List.copyOf(lockWaiters);
    lockWaiters.clear();
    tasks.forEach(this::execute);
  }
}
