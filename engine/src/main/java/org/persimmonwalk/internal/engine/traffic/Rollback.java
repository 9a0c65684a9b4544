package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.model.MonotonicTime;

/** Rolls back the transaction of a connection and returns the connection to its pool. */
final class Rollback {
  private Rollback() {}

  /** Discards a connection that leaves the rollback unanswered, which rolls back too. */
  static void run(TrafficContext context, PooledConnection used, Duration timeout) {
    Runnable cancelTimeout =
        context
            .scheduler()
            .schedule(
                timeout,
                () -> {
                  context.log().write("rollback-unanswered", "server", used.server().id());
                  used.discard();
                });
    used.send(
        BackendStatement.internal(new BackendStatement.Rollback()),
        new PooledConnection.StatementListener() {
          @Override
          public void answered(Answer answer, MonotonicTime sentAt) {
            cancelTimeout.run();
            if (answer.succeeded() && answer.state() == SessionState.IDLE) {
              used.release();
            } else {
              used.discard();
            }
          }

          @Override
          public void lost(String reason) {
            cancelTimeout.run();
            context.log().write("rollback-lost", "server", used.server().id(), "reason", reason);
          }
        });
  }
}
