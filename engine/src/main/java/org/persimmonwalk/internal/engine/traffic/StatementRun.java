package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Finds a server for one unit of work (a single statement, or the start of a transaction), prepares
 * a connection for the session and sends the work. Work that certainly did not run, and reads, go
 * to another server while time is left.
 */
final class StatementRun {
  /** More attempts would only add load when every server is full. */
  private static final int ATTEMPTS = 4;

  /** The part of the latency target that work may wait for a connection before it is refused. */
  private static final int WAIT_DIVISOR = 2;

  /** A primary that is being replaced may be back within this time. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(20);

  private final TrafficContext context;
  private final Servers servers;
  private final Work work;
  private final Consumer<Outcome> done;
  private final MonotonicTime startedAt;
  private final MonotonicTime waitUntil;
  private final MonotonicTime deadline;
  private final Set<BackendServerId> tried = new HashSet<>();
  private Failure lastFailure =
      Failure.of(FailureCode.OVERLOADED, "no server of the database can be used at present");
  private PooledConnection connection;
  private int attempts;
  private boolean finished;
  private boolean sent;
  private boolean onPrimary;
  private Runnable cancelTimeout = () -> {};

  private StatementRun(TrafficContext context, Servers servers, Work work, Consumer<Outcome> done) {
    this.context = context;
    this.servers = servers;
    this.work = work;
    this.done = done;
    this.startedAt = context.now();
    this.waitUntil = startedAt.plus(work.latencyTarget().dividedBy(WAIT_DIVISOR));
    this.deadline = startedAt.plus(work.timeout());
  }

  /** Starts the work; the outcome is told once. */
  static void start(TrafficContext context, Servers servers, Work work, Consumer<Outcome> done) {
    StatementRun run = new StatementRun(context, servers, work, done);
    run.cancelTimeout = context.scheduler().schedule(work.timeout(), run::timeOut);
    run.attempt();
  }

  private void attempt() {
    if (finished) {
      return;
    }
    Optional<Target> target = attempts >= ATTEMPTS ? Optional.empty() : choose();
    if (target.isEmpty()) {
      giveUp();
      return;
    }
    attempts++;
    sent = false;
    ServerPool pool = target.get().pool();
    onPrimary = target.get().primary();
    MonotonicTime latest = waitUntil.isBefore(context.now()) ? context.now() : waitUntil;
    pool.acquire(
        work.workspace(),
        work.priority(),
        latest,
        new ConnectionWait.Listener() {
          @Override
          public void granted(PooledConnection free) {
            use(free, target.get());
          }

          @Override
          public void refused(Failure failure) {
            notRun(pool.server(), failure);
          }
        });
  }

  private Optional<Target> choose() {
    Optional<ServerEntry> primary = context.primary(work.group());
    if (work.needsPrimary()) {
      return primary.map(entry -> new Target(servers.pool(entry), true, Optional.empty()));
    }
    Optional<TermPosition> sample =
        servers.history(work.group()).oldestWithin(work.staleness(), context.now());
    if (sample.isPresent()) {
      TermPosition floor = sample.get().max(work.floor());
      List<ServerChoice.Candidate> candidates =
          servers.candidates(work.group(), work.workspace(), tried);
      Optional<ServerChoice.Candidate> best = ServerChoice.best(candidates);
      if (best.isPresent()) {
        boolean isPrimary = best.get().primary();
        return Optional.of(
            new Target(
                best.get().pool(), isPrimary, isPrimary ? Optional.empty() : Optional.of(floor)));
      }
    }
    return primary
        .filter(entry -> !tried.contains(entry.id()))
        .map(entry -> new Target(servers.pool(entry), true, Optional.empty()));
  }

  private void use(PooledConnection free, Target target) {
    if (finished) {
      free.release();
      return;
    }
    if (onPrimary && !context.isPrimary(free.server())) {
      free.release();
      notRun(free.server(), Failure.of(FailureCode.OVERLOADED, "the primary is being replaced"));
      return;
    }
    connection = free;
    Setup.run(free, work.values(), work.shape(), ready -> prepared(ready, target));
  }

  private void prepared(boolean ready, Target target) {
    if (finished) {
      return;
    }
    if (!ready) {
      connection.discard();
      notRun(connection.server(), Failure.of(FailureCode.OVERLOADED, "the session was not set up"));
      return;
    }
    sent = true;
    PooledConnection used = connection;
    BackendStatement statement = BackendStatement.of(work.id(), target.position(), work.action());
    used.send(
        statement,
        new PooledConnection.StatementListener() {
          @Override
          public void answered(Answer answer, MonotonicTime sentAt) {
            StatementRun.this.answered(used, answer, sentAt);
          }

          @Override
          public void lost(String reason) {
            StatementRun.this.lost(used, reason);
          }
        });
  }

  private void answered(PooledConnection used, Answer answer, MonotonicTime sentAt) {
    MonotonicTime now = context.now();
    if (finished) {
      used.discard();
      return;
    }
    if (answer.succeeded()) {
      used.pool().health().measured(now.since(sentAt), now);
      if (onPrimary) {
        answer
            .position()
            .ifPresent(position -> servers.positionSeen(used.server(), position, sentAt));
      }
      finish(new Outcome(answer, Optional.of(used), onPrimary));
      return;
    }
    FailureCode code = answer.failure().orElseThrow().code();
    if (code == FailureCode.BEHIND) {
      used.pool().health().behind(now);
    }
    if (code == FailureCode.UNKNOWN_NAME) {
      used.prepared().clear();
    }
    boolean failedRead = code == FailureCode.FAILED && !work.writes();
    if (failedRead) {
      used.pool().health().failed(now);
    }
    boolean repeatable = code.nothingKept() || code == FailureCode.UNKNOWN_NAME || failedRead;
    if (answer.state() == SessionState.IDLE) {
      used.release();
    } else {
      used.discard();
    }
    if (repeatable) {
      notRun(used.server(), answer.failure().orElseThrow());
    } else {
      finish(new Outcome(answer.withState(SessionState.IDLE), Optional.empty(), onPrimary));
    }
  }

  private void lost(PooledConnection used, String reason) {
    if (finished) {
      return;
    }
    if (work.writes()) {
      fail(FailureCode.OUTCOME_UNKNOWN, "the connection to the primary ended: " + reason);
    } else {
      notRun(
          used.server(), Failure.of(FailureCode.ABORTED, "the server did not answer: " + reason));
    }
  }

  /** The work did not run there, or only read; another attempt is allowed. */
  private void notRun(ServerEntry server, Failure failure) {
    if (finished) {
      return;
    }
    lastFailure = failure;
    tried.add(server.id());
    connection = null;
    context.meter().count("statement.retried");
    if (work.needsPrimary()) {
      if (context.now().plus(RETRY_PAUSE).isBefore(waitUntil)) {
        context.scheduler().schedule(RETRY_PAUSE, this::attempt);
      } else {
        giveUp();
      }
      return;
    }
    attempt();
  }

  private void giveUp() {
    boolean passedOn = lastFailure.code().nothingKept() || lastFailure.code() == FailureCode.FAILED;
    FailureCode code = passedOn ? lastFailure.code() : FailureCode.OVERLOADED;
    fail(code, lastFailure.detail() + "; try again");
  }

  private void timeOut() {
    if (finished) {
      return;
    }
    boolean running = sent && connection != null;
    if (connection != null) {
      PooledConnection abandoned = connection;
      connection = null;
      finishTimeOut(running);
      abandoned.discard();
      return;
    }
    finishTimeOut(running);
  }

  private void finishTimeOut(boolean running) {
    if (!running) {
      fail(FailureCode.OVERLOADED, "the statement did not start in time; try again");
    } else if (work.writes()) {
      fail(FailureCode.OUTCOME_UNKNOWN, "the server did not answer in time");
    } else {
      fail(FailureCode.TIMED_OUT, "the server did not answer in time");
    }
  }

  private void fail(FailureCode code, String detail) {
    finish(
        new Outcome(Answer.failed(code, detail, SessionState.IDLE), Optional.empty(), onPrimary));
  }

  private void finish(Outcome outcome) {
    finished = true;
    cancelTimeout.run();
    context.meter().time("statement.latency", context.now().since(startedAt));
    if (!outcome.answer().succeeded()) {
      Failure failure = outcome.answer().failure().orElseThrow();
      context.meter().count("statement.failed." + failure.code());
      context
          .log()
          .write(
              "statement-failed",
              "request",
              work.id(),
              "group",
              work.group(),
              "code",
              failure.code(),
              "attempts",
              attempts,
              "servers",
              tried,
              "ageMs",
              context.now().since(startedAt).toMillis(),
              "detail",
              failure.detail());
    }
    done.accept(outcome);
  }

  private record Target(ServerPool pool, boolean primary, Optional<TermPosition> position) {}
}
