package org.persimmonwalk.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonwalk.entryhost.TrafficListener;
import org.persimmonwalk.entryhost.TrafficPolicies;

/**
 * Runs the same random schedule of sessions on entry hosts and on the baseline that sends every
 * statement to the primary. Guards against answers that differ because a replica served the read.
 */
class DifferentialTest {
  private static final int SESSIONS = 4;
  private static final int STEPS = 80;

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 20_261_204, 77})
  void shouldGiveTheSameAnswersAsThePrimary(long seed) throws SQLException {
    assertThat(run(TrafficPolicies::standard, seed))
        .as("answers with seed %d", seed)
        .isEqualTo(run(TrafficPolicies::primaryOnly, seed));
  }

  private static List<String> run(TrafficPolicies.Factory policies, long seed) throws SQLException {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> answers = new ArrayList<>();
    try (LocalDeployment deployment =
        LocalDeployment.start(2, policies, new TrafficListener() {})) {
      Connection[] sessions = new Connection[SESSIONS];
      for (int i = 0; i < SESSIONS; i++) {
        sessions[i] = open(deployment, i, random);
      }
      execute(sessions[0], "CREATE TABLE delivery (id text, litres text)", answers);
      for (int i = 0; i < SESSIONS; i++) {
        sessions[i].close();
        sessions[i] = open(deployment, i, random);
      }
      for (int step = 0; step < STEPS; step++) {
        int session = random.nextInt(SESSIONS);
        step(deployment, sessions, session, random, answers);
      }
      for (Connection connection : sessions) {
        connection.close();
      }
    }
    return answers;
  }

  private static void step(
      LocalDeployment deployment,
      Connection[] sessions,
      int session,
      SplittableRandom random,
      List<String> answers)
      throws SQLException {
    String id = "s" + session + "-" + random.nextInt(3);
    String litres = Integer.toString(random.nextInt(1_000));
    switch (random.nextInt(8)) {
      case 0 -> {
        sessions[session].close();
        sessions[session] = open(deployment, session, random);
      }
      case 1 -> deployment.group().setReplayLag(Duration.ofMillis(random.nextInt(60)));
      case 2 ->
          execute(
              sessions[session],
              "INSERT INTO delivery (id, litres) VALUES ('" + id + "', '" + litres + "')",
              answers);
      case 3 ->
          execute(
              sessions[session],
              "UPDATE delivery SET litres = '" + litres + "' WHERE id = '" + id + "'",
              answers);
      case 4 -> execute(sessions[session], "DELETE FROM delivery WHERE id = '" + id + "'", answers);
      default ->
          execute(
              sessions[session], "SELECT litres FROM delivery WHERE id = '" + id + "'", answers);
    }
  }

  private static Connection open(LocalDeployment deployment, int session, SplittableRandom random)
      throws SQLException {
    return deployment.connect(random.nextInt(2), Map.of("session", "session-" + session));
  }

  private static void execute(Connection connection, String text, List<String> answers) {
    try (Statement statement = connection.createStatement()) {
      if (!statement.execute(text)) {
        answers.add(text + " -> " + statement.getUpdateCount());
        return;
      }
      try (ResultSet result = statement.getResultSet()) {
        answers.add(text + " -> " + (result.next() ? result.getString(1) : "none"));
      }
    } catch (SQLException e) {
      answers.add(text + " -> " + e.getSQLState());
    }
  }
}
