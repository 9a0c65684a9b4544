package org.persimmonwalk.internal.engine.traffic;

import java.util.Optional;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.StatementTemplate;

/** A statement of a session before it is known which connection runs it. */
interface SessionStatement {

  /** Returns the template that the connection must have prepared first. */
  Optional<StatementTemplate> template();

  /** Returns what to send on a connection that is set up for the statement. */
  BackendStatement.Action on(PooledConnection connection);

  /** Returns a statement that is the same on each connection. */
  static SessionStatement of(BackendStatement.Action action) {
    return new Direct(action);
  }

  /** Returns the execution of a prepared statement, whose name differs between connections. */
  static SessionStatement execute(StatementTemplate template, Optional<String> arguments) {
    return new Prepared(template, arguments);
  }

  /** A statement that is the same on each connection. */
  record Direct(BackendStatement.Action action) implements SessionStatement {
    @Override
    public Optional<StatementTemplate> template() {
      return Optional.empty();
    }

    @Override
    public BackendStatement.Action on(PooledConnection connection) {
      return action;
    }
  }

  /** The execution of a prepared statement. */
  record Prepared(StatementTemplate content, Optional<String> arguments)
      implements SessionStatement {
    @Override
    public Optional<StatementTemplate> template() {
      return Optional.of(content);
    }

    @Override
    public BackendStatement.Action on(PooledConnection connection) {
      return new BackendStatement.Execute(
          connection.preparedStatements().name(content).orElseThrow(), arguments);
    }
  }
}
