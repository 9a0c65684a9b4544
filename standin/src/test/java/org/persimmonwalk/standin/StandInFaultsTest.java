package org.persimmonwalk.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.SocketTimeoutException;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.Properties;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.BackendServerId;

class StandInFaultsTest {
  private static final BackendServerId A = BackendServerId.of("a");
  private static final BackendServerId B = BackendServerId.of("b");

  private final StandInGroup group = StandInGroup.start(StandInGroupSettings.of("a", "b"));

  @BeforeEach
  void createTable() throws SQLException {
    try (Connection connection = connect(A, "owner")) {
      execute(connection, "CREATE TABLE note (id int, body text)");
      execute(connection, "INSERT INTO note (id, body) VALUES (1, 'checked')");
    }
  }

  @AfterEach
  void closeGroup() {
    group.close();
  }

  /** Guards against serving an isolated caller, and against not serving the other callers. */
  @Test
  void shouldNotServeIsolatedCallers() throws SQLException {
    try (Connection byUser = connect(A, "host-1");
        Connection byApplication = connect(A, "host-2", "monitor");
        Connection other = connect(A, "host-2")) {
      group.isolateFromCallers(A, Set.of("host-1", "monitor"));
      assertNoAnswer(byUser);
      assertNoAnswer(byApplication);
      assertThat(body(other)).isEqualTo("checked");
    }
  }

  /** Guards against a paused server that continues to answer. */
  @Test
  void shouldAnswerNothingDuringAPause() throws SQLException {
    try (Connection connection = connect(A, "host-1")) {
      group.setPaused(A, true);
      assertNoAnswer(connection);
    }
  }

  /**
   * Guards against messages that stay unanswered after the isolation or pause that held them back.
   */
  @Test
  void shouldAnswerHeldMessages() throws SQLException {
    try (Connection connection = connect(A, "host-1")) {
      group.isolateFromCallers(A, Set.of("host-1"));
      CompletableFuture<String> isolated = CompletableFuture.supplyAsync(() -> body(connection));
      group.isolateFromCallers(A, Set.of());
      assertThat(isolated.join()).isEqualTo("checked");
      group.setPaused(A, true);
      CompletableFuture<String> paused = CompletableFuture.supplyAsync(() -> body(connection));
      group.setPaused(A, false);
      assertThat(paused.join()).isEqualTo("checked");
    }
  }

  /** Guards against cancel requests that are ignored; the statement itself takes a day. */
  @Test
  void shouldCancelARunningStatement() throws SQLException {
    try (Connection connection = connect(A, "host-1");
        Statement statement = connection.createStatement()) {
      group.setServiceTime(A, Duration.ofDays(1));
      statement.setQueryTimeout(1);
      assertThatThrownBy(() -> statement.executeQuery("SELECT * FROM note"))
          .isInstanceOfSatisfying(
              SQLException.class, failure -> assertThat(failure.getSQLState()).isEqualTo("57014"));
    }
  }

  /** Guards against a demoted primary that keeps its open transactions. */
  @Test
  void shouldEndOpenTransactionsOfADemotedPrimary() throws SQLException {
    try (Connection writer = connect(A, "host-1");
        Connection idle = connect(A, "host-1");
        Connection replica = connect(B, "host-1")) {
      writer.setAutoCommit(false);
      execute(writer, "INSERT INTO note (id, body) VALUES (2, 'open')");
      execute(replica, "SELECT * FROM persimmonwalk_fence(2, 'host-1')");
      execute(replica, "SELECT * FROM persimmonwalk_promote(2, 'host-1')");
      execute(idle, "SELECT * FROM persimmonwalk_follow(2, 'b')");
      assertThatThrownBy(writer::commit)
          .isInstanceOfSatisfying(
              SQLException.class, failure -> assertThat(failure.getSQLState()).isEqualTo("57P01"));
      assertThat(body(idle)).isEqualTo("checked");
      execute(replica, "INSERT INTO note (id, body) VALUES (2, 'new primary')");
    }
  }

  /** Guards against connections that stay open after they were terminated. */
  @Test
  void shouldTerminateConnections() throws SQLException {
    try (Connection connection = connect(A, "host-1")) {
      group.terminateConnections(A);
      assertThatThrownBy(() -> execute(connection, "SELECT 1"))
          .isInstanceOfSatisfying(
              SQLException.class, failure -> assertThat(failure.getSQLState()).isEqualTo("57P01"));
    }
  }

  /**
   * Expects a read timeout. The server never answers, so the result does not depend on the length
   * of the timeout.
   */
  private static void assertNoAnswer(Connection connection) throws SQLException {
    connection.setNetworkTimeout(Runnable::run, 300);
    assertThatThrownBy(() -> body(connection)).hasRootCauseInstanceOf(SocketTimeoutException.class);
  }

  private Connection connect(BackendServerId server, String user) throws SQLException {
    return connect(server, user, "booking-screen");
  }

  private Connection connect(BackendServerId server, String user, String application)
      throws SQLException {
    Properties properties = new Properties();
    properties.setProperty("ApplicationName", application);
    properties.setProperty("assumeMinServerVersion", "9.0");
    properties.setProperty("user", user);
    properties.setProperty("password", "host-password");
    return DriverManager.getConnection(
        "jdbc:postgresql://" + group.endpoint(server) + "/notes", properties);
  }

  private static void execute(Connection connection, String sql) throws SQLException {
    try (Statement statement = connection.createStatement()) {
      statement.execute(sql);
    }
  }

  private static String body(Connection connection) {
    try (Statement statement = connection.createStatement();
        ResultSet result = statement.executeQuery("SELECT body FROM note WHERE id = 1")) {
      return result.next() ? result.getString("body") : null;
    } catch (SQLException failure) {
      throw new IllegalStateException(failure);
    }
  }
}
