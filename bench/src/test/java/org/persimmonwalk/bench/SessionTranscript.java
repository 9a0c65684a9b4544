package org.persimmonwalk.bench;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.persimmonwalk.entryhost.TrafficPolicies;

/**
 * Runs the commands of a session file and records the answers and routing decisions.
 *
 * <p>Lines that begin with {@code >} are commands: {@code open NAME HOST [parameter=value]}, {@code
 * close NAME}, {@code replicas stop|resume|await}, or {@code NAME: statement}. Answers begin with
 * {@code <}, decisions with {@code @}.
 */
final class SessionTranscript implements AutoCloseable {
  /** Longer than any test runs, so that the replicas replay nothing. */
  private static final Duration STOPPED = Duration.ofHours(1);

  private final RoutingRecorder recorder = new RoutingRecorder();
  private final LocalDeployment deployment =
      LocalDeployment.start(2, TrafficPolicies::standard, recorder);
  private final Map<String, Connection> connections = new LinkedHashMap<>();
  private final List<String> lines = new ArrayList<>();

  private SessionTranscript() {}

  static SessionTranscript create() {
    return new SessionTranscript();
  }

  /**
   * Runs the commands of the file and returns its lines with the recorded answers and decisions.
   */
  List<String> run(List<String> file) throws SQLException, InterruptedException {
    for (String line : file) {
      if (line.startsWith("#") || line.isBlank()) {
        lines.add(line);
      } else if (line.startsWith("> ")) {
        lines.add(line);
        runCommand(line.substring(2));
      }
    }
    return lines;
  }

  @Override
  public void close() throws SQLException {
    for (Connection connection : connections.values()) {
      connection.close();
    }
    deployment.close();
  }

  private void runCommand(String command) throws SQLException, InterruptedException {
    String[] words = command.split(" ");
    switch (words[0]) {
      case "open" -> open(words);
      case "close" -> connections.remove(words[1]).close();
      case "replicas" -> controlReplicas(words[1]);
      default -> {
        int colon = command.indexOf(':');
        Connection connection = connections.get(command.substring(0, colon));
        execute(connection, command.substring(colon + 1).strip());
      }
    }
    recorder.drain().forEach(decision -> lines.add("@ " + decision));
  }

  private void open(String[] words) throws SQLException {
    Map<String, String> parameters = new LinkedHashMap<>();
    for (int i = 3; i < words.length; i++) {
      parameters.put(words[i].split("=")[0], words[i].split("=")[1]);
    }
    connections.put(words[1], deployment.connect(Integer.parseInt(words[2]) - 1, parameters));
    recorder.drain();
  }

  private void controlReplicas(String action) throws InterruptedException {
    switch (action) {
      case "stop" -> deployment.group().setReplayLag(STOPPED);
      case "resume" -> deployment.group().setReplayLag(Duration.ZERO);
      default -> deployment.awaitReplicas();
    }
  }

  private void execute(Connection connection, String text) {
    try (Statement statement = connection.createStatement()) {
      if (!statement.execute(text)) {
        lines.add("< " + Math.max(0, statement.getUpdateCount()) + " changed");
        return;
      }
      try (ResultSet result = statement.getResultSet()) {
        while (result.next()) {
          lines.add("< " + row(result));
        }
      }
    } catch (SQLException e) {
      lines.add("< error " + e.getSQLState());
    }
  }

  private static String row(ResultSet result) throws SQLException {
    List<String> values = new ArrayList<>();
    for (int i = 1; i <= result.getMetaData().getColumnCount(); i++) {
      values.add(result.getString(i));
    }
    return String.join(" | ", values);
  }
}
