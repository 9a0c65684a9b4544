package org.persimmonwalk.bench;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.persimmonwalk.entryhost.TrafficListener;

/** Starts two entry hosts in front of a stand-in group and runs a short session through them. */
public final class DemoMain {
  private static final Duration REPLAY_LAG = Duration.ofMillis(300);

  @Option(
      name = "--serve",
      usage = "keep running for your own client instead of running the session")
  private boolean serve;

  private DemoMain() {}

  /** Runs the demo. */
  public static void main(String[] arguments) throws SQLException, InterruptedException {
    DemoMain demo = new DemoMain();
    CmdLineParser parser = new CmdLineParser(demo);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(2);
    }
    demo.run();
  }

  private void run() throws SQLException, InterruptedException {
    TrafficListener printer = RoutingPrinter.of(System.out);
    try (LocalDeployment deployment = LocalDeployment.start(2, printer)) {
      deployment.group().setReplayLag(REPLAY_LAG);
      createTable(deployment);
      if (serve) {
        serve(deployment);
      } else {
        runSession(deployment);
      }
    }
  }

  private static void createTable(LocalDeployment deployment) throws SQLException {
    try (Connection connection = deployment.connect(0, Map.of())) {
      execute(connection, "CREATE TABLE delivery (id text, tank text, litres text)");
    }
  }

  private static void runSession(LocalDeployment deployment)
      throws SQLException, InterruptedException {
    Map<String, String> session = Map.of("session", "dispatcher-7");
    try (Connection first = deployment.connect(0, session)) {
      execute(first, "INSERT INTO delivery (id, tank, litres) VALUES ('d1', 'kainuu', '900')");
      System.out.println("The read right after the write must run on a server that has the write:");
      query(first, "SELECT litres FROM delivery WHERE id = 'd1'");
      Thread.sleep(REPLAY_LAG.plusMillis(300).toMillis());
      System.out.println("After the replay lag a replica has the write:");
      query(first, "SELECT litres FROM delivery WHERE id = 'd1'");
      execute(first, "UPDATE delivery SET litres = '950' WHERE id = 'd1'");
    }
    System.out.println("The same session continues through the second entry host:");
    try (Connection second = deployment.connect(1, session)) {
      query(second, "SELECT litres FROM delivery WHERE id = 'd1'");
    }
  }

  private static void serve(LocalDeployment deployment) throws InterruptedException {
    System.out.printf(
        "Connect with user %s, password %s, database %s, to 127.0.0.1 port %d or %d.%n",
        LocalDeployment.WORKSPACE,
        LocalDeployment.KEY,
        LocalDeployment.GROUP,
        deployment.host(0).callerPort(),
        deployment.host(1).callerPort());
    System.out.println("Stop with Ctrl-C.");
    new CountDownLatch(1).await();
  }

  private static void execute(Connection connection, String text) throws SQLException {
    System.out.println(text);
    try (Statement statement = connection.createStatement()) {
      statement.execute(text);
    }
  }

  private static void query(Connection connection, String text) throws SQLException {
    System.out.println(text);
    try (Statement statement = connection.createStatement();
        ResultSet result = statement.executeQuery(text)) {
      while (result.next()) {
        System.out.println("  -> " + result.getString(1));
      }
    }
  }
}
