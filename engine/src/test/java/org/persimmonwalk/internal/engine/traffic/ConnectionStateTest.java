package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.PreparedName;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.StatementTemplate;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.engine.testing.FakeServers;
import org.persimmonwalk.id.KeyHash;

/**
 * Random sessions on servers that keep the state of each connection and fail, lose and delay
 * answers. Guards against a statement that runs with other session values, as another prepared
 * statement or in another transaction than its caller set up.
 */
class ConnectionStateTest {
  private static final int SESSIONS = 8;
  private static final int STEPS = 6000;
  private static final String[] TEXTS = {"qe", "qe WRITE ni", "ni", " ", "qe READ"};

  private final EngineFixture fixture = new EngineFixture(1);
  private final Map<Integer, ServerSide> connections = new HashMap<>();
  private final Map<String, Expected> expected = new HashMap<>();
  private final List<String> faults = new ArrayList<>();
  private final Map<String, Integer> counts = new TreeMap<>();
  private Random random;
  private boolean disturbed = true;

  private static final class ServerSide {
    private final Map<String, String> variables = new HashMap<>();
    private final Map<PreparedName, StatementTemplate> prepared = new HashMap<>();
    private SessionState state = SessionState.IDLE;
    private OpenTransaction owner;
  }

  private static final class OpenTransaction {
    private int connection;
  }

  private record Expected(
      Map<String, String> variables,
      Optional<StatementTemplate> template,
      String text,
      Optional<OpenTransaction> transaction) {}

  private final class Client {
    private final String name;
    private final RouteKind kind;
    private FakeCaller caller;
    private Session session;
    private Map<String, String> variables;
    private Map<String, StatementTemplate> prepared;
    private Optional<OpenTransaction> transaction;
    private int answered;
    private int number;
    private Runnable onSuccess = () -> {};

    private Client(String name, RouteKind kind) {
      this.name = name;
      this.kind = kind;
      connect();
    }

    private void connect() {
      caller = new FakeCaller();
      session = fixture.open(fixture.hosts.get(0), kind, caller);
      variables = new HashMap<>();
      prepared = new HashMap<>();
      transaction = Optional.empty();
      answered = 0;
    }

    private void step() {
      if (caller.isClosed()) {
        connect();
      }
      if (caller.answered() < answered) {
        if (random.nextInt(400) == 0) {
          session.callerDisconnected();
          connect();
        }
        return;
      }
      if (answered > 0) {
        Answer last = caller.last();
        count(last.failure().map(failure -> failure.code().name()).orElse("OK"));
        if (last.succeeded()) {
          onSuccess.run();
        }
        if (last.state() == SessionState.IDLE) {
          transaction = Optional.empty();
        }
      }
      onSuccess = () -> {};
      act();
    }

    private void act() {
      int kind = random.nextInt(20);
      if (kind < 3) {
        String key = "v" + random.nextInt(3);
        String value = "x" + random.nextInt(3);
        onSuccess = () -> variables.put(key, value);
        send(new Statement.SetVariable(key, value), "", Optional.empty());
      } else if (kind < 6) {
        String key = "s" + random.nextInt(2);
        StatementTemplate template =
            new StatementTemplate(random.nextBoolean(), TEXTS[random.nextInt(TEXTS.length)]);
        onSuccess = () -> prepared.put(key, template);
        send(new Statement.Prepare(key, template), "", Optional.empty());
      } else if (kind == 6) {
        String key = "s" + random.nextInt(2);
        onSuccess = () -> prepared.remove(key);
        send(new Statement.Deallocate(key), "", Optional.empty());
      } else if (kind < 13) {
        String key = "s" + random.nextInt(2);
        send(
            new Statement.Execute(key, Optional.of("7 " + number)),
            "7 " + number,
            Optional.ofNullable(prepared.get(key)));
      } else if (kind == 13) {
        String text = "READ a" + number;
        send(new Statement.Data(false, text), text, Optional.empty());
      } else if (kind == 14) {
        String text = "WRITE a " + number;
        send(new Statement.Data(true, text), text, Optional.empty());
      } else if (kind < 17) {
        boolean readOnly = random.nextBoolean();
        if (transaction.isEmpty()) {
          onSuccess = () -> transaction = Optional.of(new OpenTransaction());
        }
        send(new Statement.Begin(readOnly), "", Optional.empty());
      } else if (kind < 19) {
        send(new Statement.Commit("COMMIT"), "COMMIT", Optional.empty());
      } else {
        send(new Statement.Rollback(), "", Optional.empty());
      }
    }

    private void send(Statement statement, String text, Optional<StatementTemplate> template) {
      String id = name + "-" + number++;
      answered = caller.answered() + 1;
      expected.put(id, new Expected(Map.copyOf(variables), template, text, transaction));
      session.receive(RequestId.of(id), statement);
    }
  }

  private void count(String name) {
    counts.merge(name, 1, Integer::sum);
  }

  private Optional<Answer> run(FakeServers.Sent sent) {
    ServerSide side = connections.computeIfAbsent(sent.connection(), n -> new ServerSide());
    BackendStatement statement = sent.statement();
    if (!statement.id().equals(RequestId.INTERNAL)) {
      check(sent, side, expected.get(statement.id().value()));
    }
    Answer answer = apply(side, statement);
    if (disturbed && random.nextInt(60) == 0) {
      count("lost answers");
      return Optional.empty();
    }
    return Optional.of(answer);
  }

  private Answer apply(ServerSide side, BackendStatement statement) {
    BackendStatement.Action action = statement.action();
    int dice = disturbed ? random.nextInt(40) : 40;
    if (dice == 0) {
      return Answer.failed(FailureCode.OVERLOADED, "busy", side.state);
    }
    boolean isSetup =
        action instanceof BackendStatement.Reset
            || action instanceof BackendStatement.SetVariable
            || action instanceof BackendStatement.Prepare;
    if (dice == 1) {
      count("failed " + action.getClass().getSimpleName());
      if (side.state == SessionState.IN_TRANSACTION && !isSetup) {
        side.state = SessionState.FAILED_TRANSACTION;
      }
      return Answer.failed(FailureCode.FAILED, "failed", side.state);
    }
    if (action instanceof BackendStatement.Reset) {
      count("resets");
      side.variables.clear();
      side.prepared.clear();
    } else if (action instanceof BackendStatement.SetVariable set) {
      side.variables.put(set.name(), set.value());
    } else if (action instanceof BackendStatement.Prepare prepare) {
      if (side.prepared.put(prepare.name(), prepare.template()) != null) {
        faults.add("prepared twice " + prepare);
      }
    } else if (action instanceof BackendStatement.Begin) {
      if (side.state != SessionState.IDLE) {
        faults.add("BEGIN inside a transaction");
      }
      side.state = SessionState.IN_TRANSACTION;
      side.owner = null;
    } else if (action instanceof BackendStatement.Rollback
        || action instanceof BackendStatement.Text text && text.text().equals("COMMIT")) {
      side.state = SessionState.IDLE;
      side.owner = null;
    }
    return Answer.done(side.state);
  }

  private void check(FakeServers.Sent sent, ServerSide side, Expected wanted) {
    BackendStatement.Action action = sent.statement().action();
    count("checked");
    if (!side.variables.equals(wanted.variables())) {
      faults.add(sent + " ran with " + side.variables + ", not " + wanted.variables());
    }
    if (action instanceof BackendStatement.Execute execute) {
      count("executed");
      StatementTemplate found = side.prepared.get(execute.name());
      if (!Optional.ofNullable(found).equals(wanted.template())
          || !execute.arguments().equals(Optional.of(wanted.text()))) {
        faults.add(sent + " ran " + found + ", not " + wanted.template());
      }
    } else if (!(action instanceof BackendStatement.Text text)
        || !text.text().equals(wanted.text())) {
      faults.add(sent + " is not " + wanted.text());
    }
    if (wanted.transaction().isEmpty()) {
      if (side.state != SessionState.IDLE) {
        faults.add(sent + " ran inside a transaction");
      }
      return;
    }
    count("checked in a transaction");
    OpenTransaction transaction = wanted.transaction().get();
    if (transaction.connection == 0) {
      transaction.connection = sent.connection();
      if (side.owner != null) {
        faults.add(sent + " ran inside another transaction");
      }
      side.owner = transaction;
    }
    if (side.state == SessionState.IDLE
        || side.owner != transaction
        || transaction.connection != sent.connection()) {
      faults.add(sent + " ran outside of its transaction");
    }
  }

  private void runSessions(int seed) {
    random = new Random(seed);
    fixture.publish(
        EngineFixture.configuration(
            2, 1_000_000, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    fixture.run(Duration.ofSeconds(4));
    fixture.servers.behave(this::run);
    fixture.servers.delayAnswers(fixture.scheduler, Duration.ofMillis(20 + seed % 3 * 15));
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < SESSIONS; i++) {
      clients.add(new Client("c" + i, i % 2 == 0 ? RouteKind.PRIMARY : RouteKind.READ_OWN_WRITES));
    }
    for (int i = 0; i < STEPS; i++) {
      clients.forEach(Client::step);
      fixture.run(Duration.ofMillis(10));
      if (disturbed && random.nextInt(500) == 0) {
        fixture.servers.cutAll();
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void shouldRunStatementsAsTheirCallersSetThemUp(int seed) {
    runSessions(seed);

    assertThat(faults).isEmpty();
  }

  /** Guards against a test that checks nothing because no statement gets through. */
  @Test
  void shouldCheckStatementsOfEachKind() {
    disturbed = false;
    runSessions(1);

    assertThat(faults).isEmpty();
    assertThat(counts).containsKeys("executed", "resets", "checked in a transaction");
  }
}
