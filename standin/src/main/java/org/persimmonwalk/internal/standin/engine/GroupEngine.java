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
 * A replicated database group in memory. All times come from the injected clock; each call first
 * brings the state up to the current time. One thread uses an engine.
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

  /** Opens a session with the parameters of a start-up message. */
  public Session open(BackendServerId server, Map<String, String> startup) {
    Session session = Session.open(server, startup);
    state.server(server).sessions.add(session);
    return session;
  }

  /** Ends a session and rolls its transaction back. */
  public void close(Session session) {
    ServerState server = state.server(session.server());
    rollBack(server, session);
    server.sessions.remove(session);
  }

  private static void rollBack(ServerState server, Session session) {
    server.rowLocks.values().removeIf(holder -> holder == session);
    session.end();
  }

  /**
   * Runs a statement.
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
      session.fail();
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
   * Returns the columns of the statement's result, or null if it has none.
   *
   * @throws SqlException if a table or function does not exist
   */
  public List<String> columns(Session session, Statement statement) {
    MonotonicTime now = advance();
    ServerState server = state.server(session.server());
    return StatementRunner.of(server, session, List.of(), now).columns(statement);
  }

  /** Returns the sessions that the server has ended and that are still open. */
  public List<Session> terminated(BackendServerId server) {
    return state.server(server).sessions.stream().filter(Session::terminated).toList();
  }

  /** Makes the session's transaction, if one is open, end in a rollback. */
  public void fail(Session session) {
    session.fail();
  }

  /** Sets the time between a commit and its arrival at the server. */
  public void setReceiveDelay(BackendServerId server, Duration delay) {
    change(server, changed -> changed.receiveDelay = delay);
  }

  /** Sets the time between the arrival of a commit at the server and its visibility there. */
  public void setReplayLag(BackendServerId server, Duration lag) {
    change(server, changed -> changed.replayLag = lag);
  }

  /** Cuts the server off from the other servers of the group, or connects it again. */
  public void setIsolated(BackendServerId server, boolean isolated) {
    change(server, changed -> changed.isolated = isolated);
  }

  /** Stops the server's process for a time, or lets it continue. */
  public void setPaused(BackendServerId server, boolean paused) {
    change(server, changed -> changed.paused = paused);
  }

  /** Kills the server or starts it again; the log and the promised term survive. */
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
