package org.persimmonwalk.internal.engine.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.PreparedShape;
import org.persimmonwalk.model.MonotonicTime;

/** Gives a connection the values and prepared names of a session before the session uses it. */
final class Setup {
  private final PooledConnection connection;
  private final Consumer<Boolean> done;
  private int unanswered;
  private boolean failed;

  private Setup(PooledConnection connection, Consumer<Boolean> done) {
    this.connection = connection;
    this.done = done;
  }

  /** Sends what is missing in one go and tells whether the server accepted all of it. */
  static void run(
      PooledConnection connection,
      Map<String, String> values,
      Optional<PreparedShape> shape,
      Consumer<Boolean> done) {
    List<BackendStatement.Action> actions = missing(connection, values, shape);
    if (actions.isEmpty()) {
      done.accept(true);
      return;
    }
    Setup setup = new Setup(connection, done);
    setup.unanswered = actions.size();
    actions.forEach(setup::send);
  }

  private static List<BackendStatement.Action> missing(
      PooledConnection connection, Map<String, String> values, Optional<PreparedShape> shape) {
    List<BackendStatement.Action> actions = new ArrayList<>();
    if (!values.keySet().containsAll(connection.values().keySet())) {
      actions.add(new BackendStatement.Reset());
      connection.values().clear();
      connection.prepared().clear();
    }
    values.forEach(
        (name, value) -> {
          if (!value.equals(connection.values().get(name))) {
            actions.add(new BackendStatement.SetValue(name, value));
            connection.values().put(name, value);
          }
        });
    shape
        .filter(connection.prepared()::add)
        .ifPresent(added -> actions.add(new BackendStatement.Prepare(added)));
    return actions;
  }

  private void send(BackendStatement.Action action) {
    connection.send(
        BackendStatement.own(action),
        new PooledConnection.StatementListener() {
          @Override
          public void answered(Answer answer, MonotonicTime sentAt) {
            finishOne(answer.succeeded());
          }

          @Override
          public void lost(String reason) {
            finishOne(false);
          }
        });
  }

  private void finishOne(boolean succeeded) {
    failed |= !succeeded;
    unanswered--;
    if (unanswered == 0) {
      done.accept(!failed);
    }
  }
}
