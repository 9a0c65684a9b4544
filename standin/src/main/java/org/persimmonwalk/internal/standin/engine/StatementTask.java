package org.persimmonwalk.internal.standin.engine;

import java.util.List;
import java.util.Objects;

/** A statement that a session waits for. */
public final class StatementTask {

  /** Takes the outcome of a statement on the engine's thread. */
  public interface Listener {

    /**
     * The statement ran.
     *
     * @param answerLost whether the connection is to end in the middle of the answer
     */
    void onAnswer(Execution.Answer answer, boolean answerLost);

    /** The statement failed. */
    void onFailure(SqlException failure);
  }

  private final Session session;
  private final Statement statement;
  private final List<String> parameters;
  private final Listener listener;
  private Timers.Timer timer;
  private Session lockHolder;

  private StatementTask(
      Session session, Statement statement, List<String> parameters, Listener listener) {
    this.session = Objects.requireNonNull(session, "session");
    this.statement = Objects.requireNonNull(statement, "statement");
    this.parameters = Objects.requireNonNull(parameters, "parameters");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /** Returns a task; the listener hears of exactly one outcome unless the session ends. */
  public static StatementTask of(
      Session session, Statement statement, List<String> parameters, Listener listener) {
    return new StatementTask(session, statement, parameters, listener);
  }

  Session session() {
    return session;
  }

  /** Returns the statement. */
  public Statement statement() {
    return statement;
  }

  List<String> parameters() {
    return parameters;
  }

  Listener listener() {
    return listener;
  }

  Session lockHolder() {
    return lockHolder;
  }

  void setLockHolder(Session holder) {
    lockHolder = holder;
  }

  void setTimer(Timers.Timer started) {
    timer = started;
  }

  void cancelTimer() {
    if (timer != null) {
      timer.cancel();
    }
  }
}
