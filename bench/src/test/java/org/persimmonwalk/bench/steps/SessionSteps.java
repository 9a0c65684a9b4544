package org.persimmonwalk.bench.steps;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.persimmonwalk.bench.LocalDeployment;
import org.persimmonwalk.bench.RoutingRecorder;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.release.ItemName;
import org.persimmonwalk.release.ReleaseNote;

/** Step definitions that run a session through entry hosts with the PostgreSQL JDBC driver. */
public final class SessionSteps {
  /** Longer than any scenario runs, so that the replicas receive or replay nothing. */
  private static final Duration STOPPED = Duration.ofHours(1);

  private static final String OUTCOME_UNKNOWN = "40003";
  private static final BackendServerId PRIMARY = BackendServerId.of("server-a");
  private static final List<String> SERVERS = List.of("server-a", "server-b", "server-c");

  private final RoutingRecorder recorder = new RoutingRecorder();
  private LocalDeployment deployment;
  private Connection connection;
  private String session;
  private SQLException failure;

  @Given("two entry hosts in front of a primary and two replicas")
  public void startDeployment() {
    deployment = LocalDeployment.start(2, recorder);
  }

  @Given("a table {string}")
  public void createTable(String table) throws SQLException, InterruptedException {
    try (Connection administrator = deployment.connect(0, Map.of());
        Statement statement = administrator.createStatement()) {
      statement.execute("CREATE TABLE " + table + " (id text, litres text)");
    }
    deployment.awaitReplicas();
  }

  @Given("the replicas have stopped replaying")
  public void stopReplay() {
    deployment.group().setReplayLag(STOPPED);
  }

  @When("the replicas stop receiving writes")
  public void stopReceiving() {
    deployment.group().setReceiveDelay(STOPPED);
  }

  @When("the replicas have caught up")
  public void awaitReplicas() throws InterruptedException {
    deployment.awaitReplicas();
  }

  @Given("session {string} is connected to entry host {int}")
  public void connect(String name, int host) throws SQLException {
    session = name;
    connection = deployment.connect(host - 1, Map.of("session", name));
  }

  @When("the session moves to entry host {int}")
  public void move(int host) throws SQLException {
    connection.close();
    connect(session, host);
  }

  @When("the session books delivery {string} of {string} litres")
  public void book(String id, String litres) {
    String insert = "INSERT INTO delivery (id, litres) VALUES (?, ?)";
    try (PreparedStatement statement = connection.prepareStatement(insert)) {
      statement.setString(1, id);
      statement.setString(2, litres);
      statement.executeUpdate();
    } catch (SQLException e) {
      failure = e;
    }
  }

  /**
   * Books and, after an unknown outcome, reads the row and repeats the booking only if the row is
   * missing.
   */
  @When("the session books delivery {string} of {string} litres and checks unknown outcomes")
  public void bookCheckingUnknownOutcomes(String id, String litres) throws SQLException {
    book(id, litres);
    while (failure != null && OUTCOME_UNKNOWN.equals(failure.getSQLState())) {
      failure = null;
      if (!exists(id)) {
        book(id, litres);
      }
    }
  }

  private boolean exists(String id) throws SQLException {
    String select = "SELECT litres FROM delivery WHERE id = ?";
    try (PreparedStatement statement = connection.prepareStatement(select)) {
      statement.setString(1, id);
      try (ResultSet result = statement.executeQuery()) {
        return result.next();
      }
    }
  }

  @Then("the session reads {string} litres for delivery {string}")
  public void read(String litres, String id) throws SQLException {
    recorder.drain();
    String select = "SELECT litres FROM delivery WHERE id = ?";
    try (PreparedStatement statement = connection.prepareStatement(select)) {
      statement.setString(1, id);
      try (ResultSet result = statement.executeQuery()) {
        assertThat(result.next()).isTrue();
        assertThat(result.getString(1)).isEqualTo(litres);
      }
    }
  }

  @Then("the read ran on the primary because {string}")
  public void checkReadOnPrimary(String reason) {
    assertThat(recorder.drain()).containsExactly("READ server-a " + reason);
  }

  @Then("the read ran on a replica")
  public void checkReadOnReplica() {
    assertThat(String.join(", ", recorder.drain()))
        .matches("READ server-[bc] REPLICA_IN_(OTHER_)?ZONE");
  }

  @When("a caller connects with the key {string}")
  public void connectWithKey(String key) {
    String url = "jdbc:postgresql://127.0.0.1:" + deployment.host(0).callerPort() + "/tanks";
    try {
      DriverManager.getConnection(url, "oil", key).close();
    } catch (SQLException e) {
      failure = e;
    }
  }

  @Then("the caller is refused with SQLSTATE {string}")
  @Then("the booking fails with SQLSTATE {string}")
  public void checkFailure(String sqlState) {
    assertThat((Throwable) failure).isNotNull();
    assertThat(failure.getSQLState()).isEqualTo(sqlState);
  }

  @Then("no backend server has received {string}")
  public void checkNotReceived(String secret) {
    for (String server : SERVERS) {
      assertThat(deployment.group().counters(BackendServerId.of(server)).toString())
          .contains("backend-password")
          .doesNotContain(secret);
    }
  }

  @Then("no backend server has received the key of the workspace")
  public void checkKeyNotReceived() {
    checkNotReceived(LocalDeployment.KEY);
  }

  @When("the primary stops")
  public void stopPrimary() {
    deployment.group().kill(PRIMARY);
  }

  @When("the primary is cut off from its replicas")
  public void isolatePrimary() {
    deployment.group().setIsolatedFromPeers(PRIMARY, true);
  }

  @When("an operator withdraws the key of the workspace")
  public void withdrawKey() {
    deployment.publish(
        ReleaseNote.of(ReleaseNoteId.of("withdraw"), Revision.of(1))
            .withWithdrawn(List.of(ItemName.of(KeyHash.ofKey(LocalDeployment.KEY)))));
  }

  @When("the session books delivery {string} of {string} litres until it fails")
  public void bookUntilFailure(String id, String litres) {
    for (int i = 0; failure == null; i++) {
      book(id + "-" + i, litres);
    }
  }

  /** Stops what the scenario has started. */
  @After
  public void stop() throws SQLException {
    if (connection != null) {
      connection.close();
    }
    deployment.close();
  }
}
