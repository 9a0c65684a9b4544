package org.persimmonwalk.bench;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.persimmonwalk.entryhost.TrafficListener;
import org.persimmonwalk.entryhost.TrafficPolicies;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.routing.RoutingDecision;
import org.persimmonwalk.routing.RoutingReason;
import org.persimmonwalk.routing.StatementKind;

/**
 * Measures the share of reads that replicas serve and counts stale reads, which miss the session's
 * own last write. The baseline for both is a policy that sends every statement to the primary.
 */
public final class ReadShareBenchmark {
  private static final int THREADS = 32;
  private static final long SEED = 20_261_204;

  @Option(name = "--sessions", usage = "sessions that are open concurrently")
  private int sessions = 100;

  @Option(name = "--seconds", usage = "seconds of each measurement")
  private int seconds = 15;

  @Option(
      name = "--warm-up",
      usage = "seconds before counting, in which sessions connect and insert their rows")
  private int warmUpSeconds = 8;

  @Option(name = "--pause", usage = "mean milliseconds between the statements of a session")
  private int pauseMilliseconds = 1_000;

  @Option(name = "--writes", usage = "percentage of statements that are writes")
  private int writePercent = 10;

  private ReadShareBenchmark() {}

  /** Counts the routed reads, the stale reads and the failures of one measurement. */
  private static final class Counts implements TrafficListener {
    private final LongAdder replicaReads = new LongAdder();
    private final LongAdder primaryReads = new LongAdder();
    private final LongAdder stale = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private volatile boolean counting;

    @Override
    public void routed(StatementRequest request, RoutingDecision.Execute decision) {
      if (counting && request.kind() == StatementKind.READ) {
        boolean replica =
            decision.reason() == RoutingReason.REPLICA_IN_ZONE
                || decision.reason() == RoutingReason.REPLICA_IN_OTHER_ZONE;
        (replica ? replicaReads : primaryReads).increment();
      }
    }
  }

  /** Runs the benchmark. */
  public static void main(String[] arguments) throws Exception {
    ReadShareBenchmark benchmark = new ReadShareBenchmark();
    CmdLineParser parser = new CmdLineParser(benchmark);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(2);
    }
    benchmark.run();
    System.exit(0);
  }

  private void run() throws Exception {
    System.out.println("policy, replay lag ms, reads, at replicas %, stale, failed");
    for (int lag : new int[] {0, 200, 5_000}) {
      print("primary only", lag, measure(TrafficPolicies::primaryOnly, lag));
      print("persimmonwalk", lag, measure(TrafficPolicies::standard, lag));
    }
  }

  private Counts measure(TrafficPolicies.Factory policies, int lagMilliseconds)
      throws SQLException, InterruptedException {
    Counts counts = new Counts();
    try (LocalDeployment deployment = LocalDeployment.start(2, policies, counts)) {
      try (Connection connection = deployment.connect(0, Map.of());
          Statement statement = connection.createStatement()) {
        statement.execute("CREATE TABLE tank (id text, litres text)");
      }
      deployment.awaitReplicas();
      deployment.group().setReplayLag(Duration.ofMillis(lagMilliseconds));
      ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS);
      List<Session> opened = new ArrayList<>();
      for (int i = 0; i < sessions; i++) {
        Session session = new Session(deployment, i, counts, executor);
        opened.add(session);
        session.schedule();
      }
      Thread.sleep(TimeUnit.SECONDS.toMillis(warmUpSeconds));
      counts.counting = true;
      Thread.sleep(TimeUnit.SECONDS.toMillis(seconds));
      counts.counting = false;
      executor.shutdownNow();
      executor.awaitTermination(seconds, TimeUnit.SECONDS);
      for (Session session : opened) {
        session.connection.close();
      }
    }
    return counts;
  }

  private static void print(String policy, int lag, Counts counts) {
    long reads = counts.replicaReads.sum() + counts.primaryReads.sum();
    System.out.printf(
        "%s, %d, %d, %.1f, %d, %d%n",
        policy,
        lag,
        reads,
        100.0 * counts.replicaReads.sum() / Math.max(1, reads),
        counts.stale.sum(),
        counts.failed.sum());
  }

  /** A session that runs reads and writes of its own row in random order. */
  private final class Session {
    private final String id;
    private final Counts counts;
    private final ScheduledExecutorService executor;
    private final SplittableRandom random;
    private final Connection connection;
    private int written;

    Session(
        LocalDeployment deployment, int number, Counts counts, ScheduledExecutorService executor)
        throws SQLException {
      this.id = "tank-" + number;
      this.counts = counts;
      this.executor = executor;
      this.random = new SplittableRandom(SEED + number);
      this.connection = deployment.connect(number % 2, Map.of("session", id));
    }

    void schedule() {
      double pause = -Math.log(1 - random.nextDouble()) * pauseMilliseconds;
      executor.schedule(this::step, (long) pause, TimeUnit.MILLISECONDS);
    }

    private void step() {
      try {
        if (written == 0 || random.nextInt(100) < writePercent) {
          write();
        } else {
          read();
        }
      } catch (SQLException e) {
        counts.failed.increment();
      }
      if (!executor.isShutdown()) {
        schedule();
      }
    }

    private void write() throws SQLException {
      String text =
          written == 0
              ? "INSERT INTO tank (litres, id) VALUES (?, ?)"
              : "UPDATE tank SET litres = ? WHERE id = ?";
      try (PreparedStatement statement = connection.prepareStatement(text)) {
        statement.setString(1, Integer.toString(written + 1));
        statement.setString(2, id);
        statement.executeUpdate();
        written++;
      }
    }

    private void read() throws SQLException {
      String text = "SELECT litres FROM tank WHERE id = ?";
      try (PreparedStatement statement = connection.prepareStatement(text)) {
        statement.setString(1, id);
        try (ResultSet result = statement.executeQuery()) {
          if (!result.next() || !result.getString(1).equals(Integer.toString(written))) {
            counts.stale.increment();
          }
        }
      }
    }
  }
}
