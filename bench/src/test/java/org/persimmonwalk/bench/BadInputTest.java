package org.persimmonwalk.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.entryhost.TrafficListener;
import org.persimmonwalk.id.BackendServerId;

/**
 * Guards against bad input of one caller that leaks resources, hangs or affects other callers, and
 * against a lost answer that is not reported as an unknown outcome.
 */
class BadInputTest {
  private static final int PROTOCOL_VERSION = 196_608;

  private final LocalDeployment deployment = LocalDeployment.start(1, new TrafficListener() {});

  @AfterEach
  void stop() {
    deployment.close();
  }

  @Test
  void shouldRefuseUnknownWorkspace() throws IOException {
    try (Socket socket = logIn("nobody", "any-key")) {
      assertThat(readAll(socket)).contains("28000", "PW-1002");
    }
  }

  @Test
  void shouldRefuseMessageOverTheLimit() throws IOException {
    try (Socket socket = logIn("oil", LocalDeployment.KEY)) {
      DataOutputStream output = new DataOutputStream(socket.getOutputStream());
      output.writeByte('Q');
      output.writeInt(1 << 30);
      assertThat(readAll(socket)).contains("54000", "PW-5003", "not run");
    }
  }

  @Test
  void shouldRefuseLengthThatIsTooShort() throws IOException {
    try (Socket socket = logIn("oil", LocalDeployment.KEY)) {
      DataOutputStream output = new DataOutputStream(socket.getOutputStream());
      output.writeByte('Q');
      output.writeInt(1);
      assertThat(readAll(socket)).contains("08P01", "PW-5002");
    }
  }

  @Test
  void shouldRefuseAnotherProtocolVersion() throws IOException {
    try (Socket socket = connect()) {
      DataOutputStream output = new DataOutputStream(socket.getOutputStream());
      output.writeInt(8);
      output.writeInt(2 << 16);
      assertThat(readAll(socket)).contains("08P01", "use version 3");
    }
  }

  @Test
  void shouldCloseConnectionThatStopsInTheMiddleOfMessage() throws IOException {
    try (Socket socket = logIn("oil", LocalDeployment.KEY)) {
      DataOutputStream output = new DataOutputStream(socket.getOutputStream());
      output.writeByte('Q');
      output.writeInt(100);
      output.writeBytes("SELECT");
      assertThat(readAll(socket)).contains("PW-5004");
    }
  }

  @Test
  void shouldReportUnknownOutcomeWhenAnswerOfWriteIsLost() throws SQLException {
    try (Connection connection = deployment.connect(0, Map.of());
        Statement statement = connection.createStatement()) {
      statement.execute("CREATE TABLE tank (id text, litres text)");
      deployment.group().loseNextAnswer(BackendServerId.of("server-a"));
      assertThat(sqlState(statement, "INSERT INTO tank (id, litres) VALUES ('t1', '1')"))
          .isEqualTo("40003");
      try (ResultSet result = statement.executeQuery("SELECT count(*) FROM tank")) {
        assertThat(result.next()).isTrue();
      }
    }
  }

  private static String sqlState(Statement statement, String text) {
    try {
      statement.execute(text);
      return "none";
    } catch (SQLException e) {
      return e.getSQLState();
    }
  }

  private Socket connect() throws IOException {
    return new Socket("127.0.0.1", deployment.host(0).callerPort());
  }

  private Socket logIn(String user, String key) throws IOException {
    Socket socket = connect();
    ByteArrayOutputStream startup = new ByteArrayOutputStream();
    DataOutputStream fields = new DataOutputStream(startup);
    fields.writeInt(PROTOCOL_VERSION);
    for (String text : new String[] {"user", user, "database", "tanks"}) {
      fields.write(text.getBytes(StandardCharsets.UTF_8));
      fields.writeByte(0);
    }
    fields.writeByte(0);
    DataOutputStream output = new DataOutputStream(socket.getOutputStream());
    output.writeInt(startup.size() + Integer.BYTES);
    output.write(startup.toByteArray());
    output.writeByte('p');
    output.writeInt(key.length() + 1 + Integer.BYTES);
    output.writeBytes(key);
    output.writeByte(0);
    output.flush();
    return socket;
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }
}
