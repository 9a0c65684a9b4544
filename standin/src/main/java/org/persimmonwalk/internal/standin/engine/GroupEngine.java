package org.persimmonwalk.internal.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.MonotonicClock;

/**
 * A replicated database group in memory. Time comes from the injected clock. There is no timer for
 * replication: a call that runs a statement or changes a setting first applies the replication that
 * is due by now. Not thread-safe: all calls come from the engine thread.
 */
public final class GroupEngine {
  private final GroupState state = GroupState.create();
  private final List<StateController> controllers =
      List.of(LogReceiver.create(), LogReplayer.create());
  private final MonotonicClock clock;

  private GroupEngine(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Returns a group whose first server is the primary of term 1. */
  public static GroupEngine create(List<BackendServerId> servers, MonotonicClock clock) {
    GroupEngine engine = new GroupEngine(clock);
    MonotonicTime now = clock.now();
    BackendServerId primary = servers.get(0);
    engine.state.add(ServerState.primary(primary, now));
    for (BackendServerId server : servers.subList(1, servers.size())) {
      engine.state.add(ServerState.replica(server, primary, now));
    }
    return engine;
  }

  /** Opens a session at the server with the parameters of a start-up message. */
  public Session open(BackendServerId server, Map<String, String> startup) {
    Session session = Session.open(server, startup);
    state.server(server).sessions.add(session);
    return session;
  }

  /** Ends a session and rolls back its open transaction. */
  public void close(Session session) {
    ServerState server = state.server(session.server());
    rollBack(server, session);
    server.sessions.remove(session);
  }

  private static void rollBack(ServerState server, Session session) {
    server.rowLocks.values().removeIf(holder -> holder == session);
    session.endTransaction();
  }

  /**
   * Runs a statement now, or reports the session whose row lock it has to wait for.
   *
   * @param parameters the values of {@code $1} and so on; null values are SQL nulls
   * @throws SqlException if the statement fails
   */
  public Execution execute(Session session, Statement statement, List<String> parameters) {
    MonotonicTime now = advance();
    ServerState server = state.server(session.server());
    if (session.terminated()) {
      throw SqlException.of("57P01", "terminating connection due to administrator command");
    }
    boolean ending =
        statement instanceof Statement.Commit || statement instanceof Statement.Rollback;
    if (session.failed() && !ending) {
      throw SqlException.of(
          "25P02", "current transaction is aborted, commands ignored until end of transaction");
    }
    try {
      return run(server, session, statement, parameters, now);
    } catch (SqlException failure) {
      if (ending) {
        rollBack(server, session);
      }
      session.failTransaction();
      throw failure;
    }
  }

  private Execution run(
      ServerState server,
      Session session,
      Statement statement,
      List<String> parameters,
      MonotonicTime now) {
    if (statement instanceof Statement.Call call) {
      List<String> arguments = new ArrayList<>();
      call.arguments().forEach(argument -> arguments.add(argument.value(parameters)));
      Execution answer = GroupFunctions.call(state, server, call.function(), arguments, now);
      advance();
      return answer;
    }
    return StatementRunner.of(server, session, parameters, now).run(statement);
  }

  /**
   * Returns the column names of the statement's result, or null if it returns no rows.
   *
   * @throws SqlException if a table or function does not exist
   */
  public List<String> columns(Session session, Statement statement) {
    MonotonicTime now = advance();
    ServerState server = state.server(session.server());
    return StatementRunner.of(server, session, List.of(), now).columns(statement);
  }

  /** Returns the sessions that the server has terminated and whose connections are still open. */
  public List<Session> terminated(BackendServerId server) {
    return state.server(server).sessions.stream().filter(Session::terminated).toList();
  }

  /** Marks the session's open transaction, if any, as failed; it can only be rolled back. */
  public void failTransaction(Session session) {
    session.failTransaction();
  }

  /** Sets the time between a commit on the primary and its arrival in the server's log. */
  public void setReceiveDelay(BackendServerId server, Duration delay) {
    change(server, changed -> changed.receiveDelay = delay);
  }

  /**
   * Sets the time between a commit's arrival in the server's log and its visibility to reads there.
   */
  public void setReplayLag(BackendServerId server, Duration lag) {
    change(server, changed -> changed.replayLag = lag);
  }

  /** Cuts the server off from the other servers of the group, or connects it again. */
  public void setIsolated(BackendServerId server, boolean isolated) {
    change(server, changed -> changed.isolated = isolated);
  }

  /** Suspends the server: it neither receives nor replays log records until it resumes. */
  public void setPaused(BackendServerId server, boolean paused) {
    change(server, changed -> changed.paused = paused);
  }

  /** Kills the server, ending all its sessions, or restarts it with its log and promised term. */
  public void setRunning(BackendServerId server, boolean running) {
    change(server, changed -> changed.running = running);
    if (!running) {
      state.server(server).sessions.forEach(Session::terminate);
    }
  }

  private void change(BackendServerId server, Consumer<ServerState> change) {
    advance();
    change.accept(state.server(server));
    advance();
  }

  private MonotonicTime advance() {
    MonotonicTime now = clock.now();
    controllers.forEach(controller -> controller.run(state, now));
    return now;
  }
}
