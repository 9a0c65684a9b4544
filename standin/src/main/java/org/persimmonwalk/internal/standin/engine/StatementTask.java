package org.persimmonwalk.internal.standin.engine;

import java.util.List;
import java.util.Objects;

/** A submitted statement with its parameters, its session and the listener for its outcome. */
public final class StatementTask {

  /** Receives the outcome of a statement, on the engine thread. */
  public interface Listener {

    /**
     * Called when the statement has run.
     *
     * @param answerLost whether to cut the connection in the middle of the answer
     */
    void onAnswer(Execution.Answer answer, boolean answerLost);

    /** Called when the statement has failed. */
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

  /** Returns a task; its listener is called once, or never if the session is closed before. */
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
