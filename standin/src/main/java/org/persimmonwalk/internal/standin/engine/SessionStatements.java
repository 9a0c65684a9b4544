package org.persimmonwalk.internal.standin.engine;

import java.util.List;

/** Runs the statements that use no table: transaction control and session parameters. */
final class SessionStatements {

  private SessionStatements() {}

  static Execution run(StatementRunner runner, Session session, Statement statement) {
    if (statement instanceof Statement.Begin begin) {
      if (!session.inTransaction()) {
        Boolean readOnly = begin.readOnly();
        session.begin(readOnly == null ? session.readOnlyByDefault() : readOnly);
      }
      return Execution.Answer.ofTag("BEGIN");
    } else if (statement instanceof Statement.Commit) {
      return Execution.Answer.ofTag(runner.commit());
    } else if (statement instanceof Statement.Rollback) {
      runner.endTransaction();
      return Execution.Answer.ofTag("ROLLBACK");
    } else if (statement instanceof Statement.SetParameter set) {
      session.set(set.name(), set.value());
      return Execution.Answer.ofTag("SET");
    } else if (statement instanceof Statement.Show show) {
      List<String> row = List.of(session.parameter(show.name()));
      return new Execution.Answer(List.of(show.name()), List.of(row), "SHOW");
    } else if (statement instanceof Statement.DiscardAll) {
      return discardAll(session);
    } else if (statement instanceof Statement.Deallocate) {
      return Execution.Answer.ofTag("DEALLOCATE");
    }
    return Execution.Answer.ofTag("");
  }

  private static Execution discardAll(Session session) {
    if (session.inTransaction()) {
      throw SqlException.of("25001", "DISCARD ALL cannot run inside a transaction block");
    }
    session.resetParameters();
    return Execution.Answer.ofTag("DISCARD ALL");
  }
}
