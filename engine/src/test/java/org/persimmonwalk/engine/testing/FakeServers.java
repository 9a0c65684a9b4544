package org.persimmonwalk.engine.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendConnection;
import org.persimmonwalk.engine.BackendConnector;
import org.persimmonwalk.engine.BackendListener;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.ByteBudget;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.WorkspaceId;

/** Backend servers that answer at once as the test specifies, or do not answer. */
public final class FakeServers implements BackendConnector {
  private final List<Sent> sent = new ArrayList<>();
  private final Map<BackendListener, BackendServerId> open = new LinkedHashMap<>();
  private int connectionCount;
  private int maximumConnections = Integer.MAX_VALUE;
  private final Set<BackendServerId> ignoring = new HashSet<>();
  private final Set<BackendServerId> crashed = new HashSet<>();
  private Function<Sent, Optional<Answer>> behaviour = FakeServers::succeed;
  private TermPosition position = TermPosition.of(3, 100);
  private Predicate<BackendStatement> carried = statement -> true;
  private Consumer<Runnable> delivery = Runnable::run;
  private ByteBudget budget = ByteBudget.of(Long.MAX_VALUE / 100);
  private final List<Runnable> shed = new ArrayList<>();

  /** A statement and where it was sent. */
  public record Sent(
      BackendServerId server, WorkspaceId workspace, int connection, BackendStatement statement) {

    /** Returns whether the statement runs the given text of a caller. */
    public boolean isText(String text) {
      return statement.action() instanceof BackendStatement.Text passed
          && passed.text().equals(text);
    }

    /** Returns whether the statement is a write in a caller's own words. */
    public boolean isWrite() {
      return statement.action() instanceof BackendStatement.Text passed
          && passed.text().startsWith("WRITE");
    }
  }

  private static Optional<Answer> succeed(Sent sent) {
    boolean begins = sent.statement().action() instanceof BackendStatement.Begin;
    return Optional.of(Answer.done(begins ? SessionState.IN_TRANSACTION : SessionState.IDLE));
  }

  /** Replaces the behaviour of all servers; an empty result means no answer. */
  public void behave(Function<Sent, Optional<Answer>> changed) {
    behaviour = changed;
  }

  /** Sets the log position that all servers report. */
  public void setPosition(TermPosition changed) {
    position = changed;
  }

  /** Makes all servers answer only after a delay. */
  public void delayAnswers(FakeScheduler scheduler, Duration delay) {
    delivery = answer -> scheduler.schedule(delay, answer);
  }

  /** Makes a server leave new connections unanswered. */
  public void ignoreConnections(BackendServerId server) {
    ignoring.add(server);
  }

  /** Makes each server refuse connections beyond the given number. */
  public void limitConnections(int maximum) {
    maximumConnections = maximum;
  }

  /** Makes messages carry only the statements that fulfil the condition. */
  public void carryOnly(Predicate<BackendStatement> condition) {
    carried = condition;
  }

  /** Returns the answer that servers give by default. */
  public Optional<Answer> success(Sent statement) {
    return succeed(statement);
  }

  /** Returns all statements sent so far, in order. */
  public List<Sent> sent() {
    return sent;
  }

  /** Returns how many connections are open. */
  public int openConnections() {
    return open.size();
  }

  /** Returns how many connections to the server are open. */
  public long openConnections(BackendServerId server) {
    return open.values().stream().filter(server::equals).count();
  }

  /** Closes all connections from the server side. */
  public void cutAll() {
    List.copyOf(open.keySet()).forEach(listener -> listener.closed("cut by the test"));
    open.clear();
  }

  /** Lets a server that crashed accept connections again. */
  public void start(BackendServerId server) {
    crashed.remove(server);
  }

  /** Counts what the connections opened later keep, and sheds them if the budget is spent. */
  public void countIn(ByteBudget counted) {
    budget = counted;
  }

  private void shed(BackendListener listener) {
    open.remove(listener);
    shed.add(() -> listener.shed("the host has no memory for the connection"));
  }

  /** Tells the listeners of connections that were shed, as an event loop does after its work. */
  public void notifyShed() {
    shed.forEach(Runnable::run);
    shed.clear();
  }

  /** Closes all connections to a server and refuses new ones, as its crash does. */
  public void crash(BackendServerId server) {
    crashed.add(server);
    List<BackendListener> closed =
        open.entrySet().stream()
            .filter(entry -> entry.getValue().equals(server))
            .map(Map.Entry::getKey)
            .toList();
    closed.forEach(
        listener -> {
          open.remove(listener);
          listener.closed("the server crashed");
        });
  }

  @Override
  public BackendConnection open(
      ServerEntry server, WorkspaceId workspace, BackendListener listener) {
    int number = ++connectionCount;
    ByteBudget.Account account = budget.open(bytes -> shed(listener));
    BackendConnection connection =
        new BackendConnection() {
          @Override
          public boolean keep(long bytes) {
            return account.add(bytes);
          }

          @Override
          public void send(BackendStatement statement) {
            Sent statementSent = new Sent(server.id(), workspace, number, statement);
            sent.add(statementSent);
            behaviour
                .apply(statementSent)
                .ifPresent(
                    answer ->
                        delivery.accept(
                            () ->
                                listener.answered(
                                    new Answer(
                                        answer.rows(),
                                        answer.proof(),
                                        answer.failure(),
                                        answer.state(),
                                        Optional.of(position)))));
          }

          @Override
          public boolean canSend(BackendStatement statement) {
            return carried.test(statement);
          }

          @Override
          public void close() {
            account.close();
            open.remove(listener);
          }
        };
    long connected = open.values().stream().filter(server.id()::equals).count();
    if (connected >= maximumConnections) {
      listener.refused(Failure.of(FailureCode.NO_CONNECTION_LEFT, server.id().value()));
      return connection;
    }
    if (crashed.contains(server.id())) {
      listener.closed("connection refused");
      return connection;
    }
    open.put(listener, server.id());
    if (ignoring.contains(server.id())) {
      return connection;
    }
    listener.opened(connection, Optional.of(position));
    return connection;
  }
}
