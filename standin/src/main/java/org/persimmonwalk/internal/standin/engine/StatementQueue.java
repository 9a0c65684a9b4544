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
 * The execution slots of one server. A table statement occupies a slot for the service time and
 * takes effect at its end; other statements run at once.
 */
public final class StatementQueue {
  private final GroupEngine engine;
  private final Timers timers;
  private final int slots;
  private final IntConsumer concurrency;
  private final Deque<StatementTask> waiting = new ArrayDeque<>();
  private final Set<StatementTask> running = new LinkedHashSet<>();
  private final Deque<StatementTask> due = new ArrayDeque<>();
  private final Set<StatementTask> lockWaiters = new LinkedHashSet<>();
  private Duration serviceTime;
  private boolean paused;
  private int answersToLose;

  private StatementQueue(
      GroupEngine engine, Timers timers, int slots, Duration serviceTime, IntConsumer concurrency) {
    this.engine = engine;
    this.timers = timers;
    this.slots = slots;
    this.serviceTime = serviceTime;
    this.concurrency = concurrency;
  }

  /**
   * Returns a queue without statements.
   *
   * @param concurrency hears the number of occupied slots each time that it rises
   */
  public static StatementQueue create(
      GroupEngine engine, Timers timers, int slots, Duration serviceTime, IntConsumer concurrency) {
    Objects.requireNonNull(concurrency, "concurrency");
    return new StatementQueue(engine, timers, slots, serviceTime, concurrency);
  }

  /** Runs a statement when a slot is free. */
  public void submit(StatementTask task) {
    if (!task.statement().usesSlot()) {
      execute(task);
      return;
    }
    waiting.add(task);
    startWaiting();
  }

  /** Sets the time that each statement occupies a slot, from the next statement on. */
  public void setServiceTime(Duration time) {
    serviceTime = Objects.requireNonNull(time, "time");
  }

  /** Keeps statements from taking effect, or lets them continue. */
  public void setPaused(boolean pause) {
    paused = pause;
    while (!paused && !due.isEmpty()) {
      finish(due.remove());
    }
    startWaiting();
  }

  /** Ends the connection in the middle of the next answer to a table statement or a commit. */
  public void loseNextAnswer() {
    answersToLose++;
  }

  /** Cancels the session's statement if it has not taken effect. */
  public void cancel(Session session) {
    StatementTask task = remove(session);
    if (task != null) {
      engine.fail(session);
      SqlException cancelled = SqlException.of("57014", "canceling statement due to user request");
      task.listener().onFailure(cancelled);
    }
  }

  /** Forgets the session's statement, closes the session and lets waiting statements run. */
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
      due.remove(task);
      lockWaiters.remove(task);
      if (running.remove(task)) {
        startWaiting();
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

  private void startWaiting() {
    while (!paused && running.size() < slots && !waiting.isEmpty()) {
      StatementTask task = waiting.remove();
      running.add(task);
      concurrency.accept(running.size());
      if (serviceTime.isZero()) {
        finish(task);
      } else {
        task.setTimer(timers.schedule(serviceTime, () -> finish(task)));
      }
    }
  }

  private void finish(StatementTask task) {
    if (paused) {
      due.add(task);
      return;
    }
    running.remove(task);
    execute(task);
    startWaiting();
  }

  private void execute(StatementTask task) {
    boolean inTransaction = task.session().inTransaction();
    try {
      Execution execution = engine.execute(task.session(), task.statement(), task.parameters());
      if (execution instanceof Execution.LockWait wait) {
        awaitLock(task, wait.holder());
      } else if (execution instanceof Execution.Answer answer) {
        task.listener().onAnswer(answer, takeLostAnswer(task.statement()));
      }
    } catch (SqlException failure) {
      task.listener().onFailure(failure);
    }
    if (inTransaction && !task.session().inTransaction()) {
      retryLockWaiters();
    }
  }

  private boolean takeLostAnswer(Statement statement) {
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
      engine.fail(task.session());
      task.listener().onFailure(SqlException.of("40P01", "deadlock detected"));
    }
  }

  private boolean waitsFor(Session waiter, Session wanted) {
    Session current = waiter;
    for (int steps = 0; steps <= lockWaiters.size() && current != null; steps++) {
      if (current == wanted) {
        return true;
      }
      current = holderOf(current);
    }
    return false;
  }

  private Session holderOf(Session waiter) {
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
