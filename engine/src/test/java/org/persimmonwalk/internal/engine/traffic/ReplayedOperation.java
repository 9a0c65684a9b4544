package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** One operation of a caller: a statement, or a transaction of one statement and COMMIT. */
final class ReplayedOperation {
  private static final Duration RETRY_PAUSE = Duration.ofMillis(15);

  private final TrafficContext context;
  private final ServerPools pools;
  private final Route route;
  private final WorkspaceId workspace;
  private final BackendStatement.Action statement;
  private final RequestId id;
  private final UrgencyReplay.Tally tally;
  private final MonotonicTime startedAt;
  private final OperationDeadline deadline;
  private boolean ended;

  ReplayedOperation(
      TrafficContext context,
      ServerPools pools,
      Route route,
      WorkspaceId workspace,
      UrgencyReplay.Load load,
      String id,
      UrgencyReplay.Tally tally) {
    this.context = context;
    this.pools = pools;
    this.route = route;
    this.workspace = workspace;
    this.statement = new BackendStatement.Text(load.name() + " " + load.workMillis());
    this.id = RequestId.of(id);
    this.tally = tally;
    this.startedAt = context.now();
    this.deadline = Arrival.now(context).deadline(route.statementTimeout());
  }

  void start(boolean transaction, boolean write) {
    if (transaction) {
      pools
          .urgency()
          .whenAdmitted(
              route,
              workspace,
              true,
              deadline,
              () -> execute(new BackendStatement.Begin(false), true, false, this::runTransaction),
              this::failed);
    } else {
      execute(statement, write || route.kind() == RouteKind.PRIMARY, write, this::succeeded);
    }
  }

  private void execute(
      BackendStatement.Action action,
      boolean needsPrimary,
      boolean writes,
      Consumer<PooledConnection> next) {
    ExecutionRequest request =
        new ExecutionRequest(
            id,
            workspace,
            route,
            deadline,
            SessionStatement.of(action),
            needsPrimary,
            action instanceof BackendStatement.Begin,
            () -> true,
            writes,
            TermPosition.ZERO,
            Map.of());
    StatementExecution.start(
        context,
        pools,
        request,
        outcome -> {
          if (outcome.answer().succeeded()) {
            next.accept(outcome.connection().orElseThrow());
          } else {
            failed(outcome.answer().failure().orElseThrow());
          }
        });
  }

  private void runTransaction(PooledConnection connection) {
    send(connection, List.of(statement, new BackendStatement.Text("COMMIT")), 0);
  }

  private void send(PooledConnection connection, List<BackendStatement.Action> actions, int next) {
    if (next == actions.size()) {
      succeeded(connection);
      return;
    }
    connection.send(
        BackendStatement.of(id, Optional.empty(), actions.get(next)),
        new PooledConnection.StatementListener() {
          @Override
          public void answered(Answer answer, MonotonicTime sentAt) {
            if (answer.succeeded()) {
              connection.pool().load().recordAnswer(context.now().since(sentAt));
              send(connection, actions, next + 1);
            } else if (age().compareTo(route.statementTimeout()) < 0) {
              context.scheduler().schedule(RETRY_PAUSE, () -> send(connection, actions, next));
            } else {
              connection.discard();
              failed(Failure.of(FailureCode.ABORTED, "the transaction was aborted"));
            }
          }

          @Override
          public void lost(String reason) {
            failed(Failure.of(FailureCode.ABORTED, "the transaction was aborted"));
          }
        });
  }

  private Duration age() {
    return context.now().since(startedAt);
  }

  private void succeeded(PooledConnection connection) {
    connection.release();
    end();
    if (age().compareTo(route.latencyTarget()) <= 0) {
      tally.inTime++;
    } else {
      tally.late++;
    }
  }

  private void failed(Failure failure) {
    end();
    tally.reasons.merge(failure.detail(), 1, Integer::sum);
    if (failure.code().guaranteesNoEffect()) {
      tally.refused++;
    } else {
      tally.unknown++;
    }
  }

  /** Guards against an operation that is answered twice, or whose statement is repeated. */
  private void end() {
    if (ended) {
      throw new IllegalStateException("the operation " + id + " ended twice");
    }
    ended = true;
  }
}
