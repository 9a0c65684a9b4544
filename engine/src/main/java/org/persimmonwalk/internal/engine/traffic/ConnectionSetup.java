package org.persimmonwalk.internal.engine.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.StatementTemplate;
import org.persimmonwalk.model.MonotonicTime;

/** Sets a session's variables and prepared statement on a connection before the session uses it. */
final class ConnectionSetup {
  private final PooledConnection connection;
  private final Consumer<Boolean> done;
  private int unanswered;
  private boolean failed;

  private ConnectionSetup(PooledConnection connection, Consumer<Boolean> done) {
    this.connection = connection;
    this.done = done;
  }

  /**
   * Sends everything that is missing without waiting for answers in between, and passes on whether
   * the server accepted all of it.
   */
  static void run(
      PooledConnection connection,
      Map<String, String> variables,
      Optional<StatementTemplate> template,
      Consumer<Boolean> done) {
    if (isReady(connection, variables, template)) {
      done.accept(true);
      return;
    }
    List<BackendStatement.Action> actions = missing(connection, variables, template);
    connection.countKept();
    ConnectionSetup setup = new ConnectionSetup(connection, done);
    setup.unanswered = actions.size();
    actions.forEach(setup::send);
  }

  /** Returns whether nothing has to be sent, as before most statements. */
  static boolean isReady(
      PooledConnection connection,
      Map<String, String> variables,
      Optional<StatementTemplate> template) {
    return connection.variables().equals(variables)
        && (template.isEmpty() || connection.preparedStatements().name(template.get()).isPresent());
  }

  private static List<BackendStatement.Action> missing(
      PooledConnection connection,
      Map<String, String> variables,
      Optional<StatementTemplate> template) {
    List<BackendStatement.Action> actions = new ArrayList<>();
    if (!variables.keySet().containsAll(connection.variables().keySet())) {
      actions.add(new BackendStatement.Reset());
      connection.variables().clear();
      connection.preparedStatements().clear();
    }
    // By name: a session's variables are kept without an order, and a server must get them in one.
    new TreeMap<>(variables)
        .forEach(
            (name, value) -> {
              if (!value.equals(connection.variables().get(name))) {
                actions.add(new BackendStatement.SetVariable(name, value));
                connection.variables().put(name, value);
              }
            });
    template
        .filter(needed -> connection.preparedStatements().name(needed).isEmpty())
        .ifPresent(
            added -> {
              connection
                  .preparedStatements()
                  .makeRoom(added)
                  .forEach(name -> actions.add(new BackendStatement.Deallocate(name)));
              actions.add(
                  new BackendStatement.Prepare(connection.preparedStatements().add(added), added));
            });
    return actions;
  }

  private void send(BackendStatement.Action action) {
    record(action);
    BackendStatement statement = BackendStatement.internal(action);
    if (!connection.canSend(statement)) {
      recordFailure(action, Failure.of(FailureCode.MALFORMED, "the message would be too long"));
      finishOne(false);
      return;
    }
    connection.send(
        statement,
        new PooledConnection.StatementListener() {
          @Override
          public void answered(Answer answer, MonotonicTime sentAt) {
            answer.failure().ifPresent(failure -> recordFailure(action, failure));
            finishOne(answer.succeeded());
          }

          @Override
          public void lost(String reason) {
            finishOne(false);
          }
        });
  }

  private void record(BackendStatement.Action action) {
    TrafficContext context = connection.pool().context();
    if (action instanceof BackendStatement.Reset) {
      context.meter().count("connection.reset");
      context.log().write("connection-reset", "connection", connection.id());
    } else if (action instanceof BackendStatement.Deallocate deallocate) {
      context.meter().count("statement.deallocated");
      context
          .log()
          .write("statement-deallocated", "connection", connection.id(), "name", deallocate.name());
    } else if (action instanceof BackendStatement.Prepare prepare) {
      context.meter().count("statement.prepared");
      context
          .log()
          .write(
              "statement-prepared",
              "connection",
              connection.id(),
              "name",
              prepare.name(),
              "write",
              prepare.template().write(),
              "text",
              prepare.template().text());
    }
  }

  private void recordFailure(BackendStatement.Action action, Failure failure) {
    TrafficContext context = connection.pool().context();
    context.meter().count("connection.setup-failed");
    context
        .log()
        .write(
            "connection-setup-failed",
            "connection",
            connection.id(),
            "action",
            action.getClass().getSimpleName(),
            "code",
            failure.code(),
            "detail",
            failure.detail());
  }

  private void finishOne(boolean succeeded) {
    failed |= !succeeded;
    unanswered--;
    if (unanswered == 0) {
      done.accept(!failed);
    }
  }
}
