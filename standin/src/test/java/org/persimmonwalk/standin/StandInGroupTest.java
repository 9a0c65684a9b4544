package org.persimmonwalk.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import java.util.Properties;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.BackendServerId;

class StandInGroupTest {
  private static final BackendServerId A = BackendServerId.of("a");
  private static final BackendServerId B = BackendServerId.of("b");

  private final StandInGroup group =
      StandInGroup.start(StandInGroupSettings.of("a", "b").withLimits(3, 2));

  @AfterEach
  void closeGroup() {
    group.close();
  }

  /** Guards against extended query protocol answers that the JDBC driver does not understand. */
  @Test
  void shouldServeTheJdbcDriver() throws SQLException {
    try (Connection connection = connect(A)) {
      createTable(connection);
      try (PreparedStatement insert =
          connection.prepareStatement("INSERT INTO booking (id, house, litres) VALUES (?, ?, ?)")) {
        insert.setInt(1, 7);
        insert.setString(2, "Säiliötie 4");
        insert.setLong(3, 1500L);
        assertThat(insert.executeUpdate()).isEqualTo(1);
      }
      assertThat(houseOf(connection, 7)).isEqualTo("Säiliötie 4");
      assertThatThrownBy(() -> execute(connection, "INSERT INTO booking (id) VALUES (7)"))
          .isInstanceOfSatisfying(
              SQLException.class, failure -> assertThat(failure.getSQLState()).isEqualTo("23505"));
      assertThat(connection.getTransactionIsolation())
          .isEqualTo(Connection.TRANSACTION_READ_COMMITTED);
    }
  }

  /**
   * Guards against executions of a named prepared statement that differ from the first, unnamed
   * ones.
   */
  @Test
  void shouldReuseNamedStatements() throws SQLException {
    try (Connection connection = connect(A)) {
      createTable(connection);
      try (PreparedStatement insert =
          connection.prepareStatement("INSERT INTO booking (id, house) VALUES (?, ?)")) {
        for (int id = 0; id < 12; id++) {
          insert.setInt(1, id);
          insert.setString(2, "house " + id);
          insert.addBatch();
        }
        assertThat(insert.executeBatch()).hasSize(12).containsOnly(1);
      }
      for (int id = 0; id < 12; id++) {
        assertThat(houseOf(connection, id)).isEqualTo("house " + id);
      }
    }
  }

  /**
   * Guards against uncommitted writes that others see, and against statements after a failed one.
   */
  @Test
  void shouldKeepTransactionsApart() throws SQLException {
    try (Connection writer = connect(A);
        Connection reader = connect(A)) {
      createTable(writer);
      writer.setAutoCommit(false);
      execute(writer, "INSERT INTO booking (id, house) VALUES (1, 'x')");
      assertThat(houseOf(writer, 1)).isEqualTo("x");
      assertThat(houseOf(reader, 1)).isNull();
      writer.commit();
      assertThat(houseOf(reader, 1)).isEqualTo("x");
      assertState(writer, "SELECT * FROM missing", "42P01");
      assertState(writer, "SELECT * FROM booking", "25P02");
      writer.rollback();
      assertThat(houseOf(writer, 1)).isEqualTo("x");
    }
  }

  /** Guards against writes that a replica or a read-only session accepts. */
  @Test
  void shouldRefuseWritesThatAreNotAllowed() throws SQLException {
    try (Connection primary = connect(A);
        Connection replica = connect(B)) {
      createTable(primary);
      assertState(replica, "DELETE FROM booking WHERE id = 1", "25006");
      execute(primary, "SET default_transaction_read_only = on");
      assertState(primary, "DELETE FROM booking WHERE id = 1", "25006");
      assertState(primary, "DELETE booking", "42601");
    }
  }

  /** Guards against a lost answer whose statement has no effect, or whose connection stays open. */
  @Test
  void shouldLoseAnAnswerAfterTheEffect() throws SQLException {
    try (Connection first = connect(A)) {
      createTable(first);
      group.loseNextAnswer(A);
      assertThatThrownBy(() -> execute(first, "INSERT INTO booking (id, house) VALUES (1, 'kept')"))
          .isInstanceOf(SQLException.class);
    }
    try (Connection second = connect(A)) {
      assertThat(houseOf(second, 1)).isEqualTo("kept");
    }
  }

  /** Guards against a connection limit that is not enforced. */
  @Test
  void shouldRefuseConnectionsAboveTheLimit() throws SQLException {
    try (Connection first = connect(A);
        Connection second = connect(A)) {
      assertThat(List.of(first, second)).doesNotContainNull();
      assertThatThrownBy(() -> connect(A))
          .isInstanceOfSatisfying(
              SQLException.class, failure -> assertThat(failure.getSQLState()).isEqualTo("53300"));
      assertThat(group.counters(A).highestConnections()).isEqualTo(2);
    }
  }

  /** Guards against a restart that loses commits or the address. */
  @Test
  void shouldKeepCommitsOverARestart() throws SQLException {
    try (Connection connection = connect(A)) {
      createTable(connection);
      execute(connection, "INSERT INTO booking (id, house) VALUES (1, 'kept')");
      group.kill(A);
      assertThatThrownBy(() -> houseOf(connection, 1)).isInstanceOf(SQLException.class);
    }
    assertThatThrownBy(() -> connect(A)).isInstanceOf(SQLException.class);
    group.restart(A);
    try (Connection connection = connect(A)) {
      assertThat(houseOf(connection, 1)).isEqualTo("kept");
    }
  }

  /** Guards against counters that miss what a caller sent. */
  @Test
  void shouldCountWhatCallersSend() throws SQLException {
    try (Connection connection = connect(A)) {
      createTable(connection);
    }
    ServerCounters counters = group.counters(A);
    assertThat(counters.passwords()).containsExactly("host-password");
    assertThat(counters.statementsByUser()).containsOnlyKeys("host");
    assertThat(counters.startupParameters())
        .allSatisfy(parameters -> assertThat(parameters).containsEntry("user", "host"));
    assertThat(counters.highestConcurrentStatements()).isEqualTo(1);
  }

  private Connection connect(BackendServerId server) throws SQLException {
    Properties properties = new Properties();
    properties.setProperty("user", "host");
    properties.setProperty("password", "host-password");
    return DriverManager.getConnection(
        "jdbc:postgresql://" + group.endpoint(server) + "/shade", properties);
  }

  private static void createTable(Connection connection) throws SQLException {
    execute(connection, "CREATE TABLE booking (id int PRIMARY KEY, house text, litres int8)");
  }

  private static void execute(Connection connection, String sql) throws SQLException {
    try (Statement statement = connection.createStatement()) {
      statement.execute(sql);
    }
  }

  private static void assertState(Connection connection, String sql, String state) {
    assertThatThrownBy(() -> execute(connection, sql))
        .isInstanceOfSatisfying(
            SQLException.class, failure -> assertThat(failure.getSQLState()).isEqualTo(state));
  }

  private static String houseOf(Connection connection, int id) throws SQLException {
    try (PreparedStatement select =
        connection.prepareStatement("SELECT house FROM booking WHERE id = ?")) {
      select.setInt(1, id);
      try (ResultSet result = select.executeQuery()) {
        return result.next() ? result.getString(1) : null;
      }
    }
  }
}
