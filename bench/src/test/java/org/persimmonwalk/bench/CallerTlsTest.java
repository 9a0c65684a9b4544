package org.persimmonwalk.bench;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.Properties;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.wire.StartupRequest;

class CallerTlsTest {
  private static final Path FILES = Path.of("..", "entryhost", "src", "test", "resources", "tls");

  private final LocalDeployment deployment =
      LocalDeployment.startWithTls(FILES.resolve("first.pem"), FILES.resolve("first.key"));

  @AfterEach
  void stop() {
    deployment.close();
  }

  /** Guards against a TLS setup with which drivers cannot verify the host or run statements. */
  @Test
  void shouldRunStatementsThroughTls() throws SQLException {
    try (Connection connection = connect("verify-ca");
        Statement statement = connection.createStatement()) {
      statement.execute("CREATE TABLE tank (id text, litres text)");
      statement.execute("INSERT INTO tank (id, litres) VALUES ('t1', '1')");
      try (ResultSet result = statement.executeQuery("SELECT litres FROM tank")) {
        assertThat(result.next()).isTrue();
        assertThat(result.getString(1)).isEqualTo("1");
      }
    }
    connect("require").close();
  }

  /** Guards against a host that requests the caller's key over an unencrypted connection. */
  @Test
  void shouldRefusePlainTextWhenTlsIsRequired() {
    assertThatThrownBy(() -> connect("disable"))
        .isInstanceOfSatisfying(
            SQLException.class, e -> assertThat(e.getSQLState()).isEqualTo("28000"))
        .hasMessageContaining("PW-1007");
  }

  /** Guards against plain-text messages that an attacker injects before the TLS handshake. */
  @Test
  void shouldCloseConnectionWithBytesBeforeTheHandshake() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", deployment.host(0).callerPort())) {
      DataOutputStream output = new DataOutputStream(socket.getOutputStream());
      byte[] request = {0, 0, 0, 8, 4, (byte) 0xd2, 0x16, 0x2f, 0, 0, 0, 8};
      output.write(request);
      assertThat(readAll(socket)).isEmpty();
    }
    try (Socket socket = new Socket("127.0.0.1", deployment.host(0).callerPort())) {
      DataOutputStream output = new DataOutputStream(socket.getOutputStream());
      output.writeInt(8);
      output.writeInt(StartupRequest.TLS_CODE);
      assertThat(socket.getInputStream().read()).isEqualTo('S');
      output.writeInt(8);
      output.writeInt(StartupRequest.PROTOCOL_VERSION);
      assertThat(readAll(socket)).doesNotContain((byte) 'R');
    }
  }

  private Connection connect(String mode) throws SQLException {
    Properties properties = new Properties();
    properties.put("user", LocalDeployment.WORKSPACE.value());
    properties.put("password", LocalDeployment.KEY);
    properties.put("sslmode", mode);
    properties.put("sslrootcert", FILES.resolve("authority.pem").toString());
    return DriverManager.getConnection(
        "jdbc:postgresql://127.0.0.1:"
            + deployment.host(0).callerPort()
            + "/"
            + LocalDeployment.GROUP,
        properties);
  }

  /**
   * Returns the bytes that arrive until the connection ends, or none if it is reset, as happens
   * when the host closes it with unread input.
   */
  private static byte[] readAll(Socket socket) throws IOException {
    try {
      return socket.getInputStream().readAllBytes();
    } catch (SocketException e) {
      return new byte[0];
    }
  }
}
