package org.persimmonwalk.internal.engine.traffic;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;

/**
 * Starts the operations of sessions: statements outside transactions, and transactions. What such
 * an operation waits for, from its arrival on, ends at one deadline.
 */
final class SessionOperations {
  private final TrafficContext context;
  private final ServerPools pools;
  private final SessionAdmission admission;

  SessionOperations(TrafficContext context, ServerPools pools, SessionAdmission admission) {
    this.context = context;
    this.pools = pools;
    this.admission = admission;
  }

  /** Runs the action once a transaction may begin, or answers BEGIN with the refusal. */
  void begin(Session session, QueuedStatement begin, boolean readOnly, Consumer<Route> opened) {
    admission.admit(
        session,
        begin.id(),
        begin.arrival(),
        route -> {
          OperationDeadline deadline = begin.arrival().deadline(route.statementTimeout());
          new PendingBegin(session, route, deadline, opened).start(readOnly);
        });
  }

  /** Runs a statement outside a transaction and passes on its outcome, or answers the refusal. */
  void run(
      Session session,
      QueuedStatement queued,
      boolean write,
      SessionStatement statement,
      BiConsumer<Route, ExecutionOutcome> done) {
    admission.admit(
        session,
        queued.id(),
        queued.arrival(),
        route -> {
          ExecutionRequest request =
              new ExecutionRequest(
                  queued.id(),
                  session.workspace(),
                  route,
                  queued.arrival().deadline(route.statementTimeout()),
                  statement,
                  write || route.kind() == RouteKind.PRIMARY,
                  false,
                  session::isStillAdmitted,
                  write,
                  session.minimumPosition(route),
                  Map.copyOf(session.variables()));
          StatementExecution.start(context, pools, request, outcome -> done.accept(route, outcome));
        });
  }

  /** Logs a queued statement that the end of its session refuses. */
  void logRefusal(Session session, RequestId id, SessionAdmission.Refusal refusal) {
    admission.logRefusal(session, id, refusal);
  }

  /** A transaction that is held before it begins, until its deadline at most. */
  private final class PendingBegin {
    private final Session session;
    private final Route route;
    private final OperationDeadline deadline;
    private final Consumer<Route> opened;
    private boolean ended;
    private Runnable cancelTimeout = () -> {};

    private PendingBegin(
        Session session, Route route, OperationDeadline deadline, Consumer<Route> opened) {
      this.session = session;
      this.route = route;
      this.deadline = deadline;
      this.opened = opened;
    }

    private void start(boolean readOnly) {
      boolean needsPrimary = !readOnly || route.kind() == RouteKind.PRIMARY;
      pools
          .urgency()
          .whenAdmitted(
              route,
              session.workspace(),
              needsPrimary,
              deadline,
              () -> end(this::open),
              refusal -> end(() -> fail(refusal)));
      if (!ended) {
        cancelTimeout =
            pools.deadlines().schedule(deadline, () -> end(() -> fail(UrgencyGate.REFUSED)));
      }
    }

    /** Opens the transaction, unless the host was suspended in the hold beyond the deadline. */
    private void open() {
      if (deadline.hasPassed(context)) {
        fail(RemainingTime.TOO_LATE);
      } else {
        opened.accept(route);
      }
    }

    private void end(Runnable action) {
      if (!ended) {
        ended = true;
        cancelTimeout.run();
        action.run();
      }
    }

    private void fail(Failure refusal) {
      session.fail(refusal.code(), refusal.detail());
    }
  }
}
