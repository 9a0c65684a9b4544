package org.persimmonwalk.bench;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.persimmonwalk.entryhost.TrafficListener;

/**
 * Measures the rate and the latency of reads through an entry host and directly at a backend
 * server, in one run, and prints how they compare.
 */
public final class PathBenchmark {
  private static final double NANOSECONDS_PER_MICROSECOND = 1e3;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  @Option(name = "--callers", usage = "connections that read concurrently")
  private int callers = 4;

  @Option(name = "--seconds", usage = "seconds of each measurement")
  private int seconds = 5;

  @Option(name = "--rounds", usage = "rounds of one direct and one proxied measurement")
  private int rounds = 3;

  private PathBenchmark() {}

  /** Opens the connections of one kind of measurement. */
  private interface ConnectionFactory {
    Connection open() throws SQLException;
  }

  private record Measurement(long statements, double elapsedSeconds, Histogram latency) {
    double rate() {
      return statements / elapsedSeconds;
    }

    double microseconds(double percentile) {
      return latency.getValueAtPercentile(percentile) / NANOSECONDS_PER_MICROSECOND;
    }
  }

  /** Runs the benchmark. */
  public static void main(String[] arguments) throws Exception {
    PathBenchmark benchmark = new PathBenchmark();
    CmdLineParser parser = new CmdLineParser(benchmark);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(2);
    }
    benchmark.run();
  }

  private void run() throws Exception {
    try (LocalDeployment deployment = LocalDeployment.start(1, new TrafficListener() {})) {
      prepare(deployment);
      ConnectionFactory direct = () -> deployment.connectDirectly("server-b");
      ConnectionFactory proxied = () -> deployment.connect(0, Map.of());
      measure(direct);
      measure(proxied);
      for (int round = 1; round <= rounds; round++) {
        Measurement directResult = measure(direct);
        Measurement proxiedResult = measure(proxied);
        print(round, directResult, proxiedResult);
      }
    }
  }

  private static void prepare(LocalDeployment deployment)
      throws SQLException, InterruptedException {
    try (Connection connection = deployment.connect(0, Map.of());
        Statement statement = connection.createStatement()) {
      statement.execute("CREATE TABLE tank (id text, litres text)");
      statement.execute("INSERT INTO tank (id, litres) VALUES ('t1', '900')");
    }
    deployment.awaitReplicas();
  }

  private Measurement measure(ConnectionFactory connections)
      throws InterruptedException, ExecutionException {
    ExecutorService executor = Executors.newFixedThreadPool(callers);
    List<Future<Histogram>> results = new ArrayList<>();
    long start = System.nanoTime();
    long end = start + (long) (seconds * NANOSECONDS_PER_SECOND);
    for (int i = 0; i < callers; i++) {
      results.add(executor.submit(() -> read(connections, end)));
    }
    Histogram latency = new Histogram(3);
    for (Future<Histogram> result : results) {
      latency.add(result.get());
    }
    double elapsed = (System.nanoTime() - start) / NANOSECONDS_PER_SECOND;
    executor.shutdown();
    return new Measurement(latency.getTotalCount(), elapsed, latency);
  }

  private static Histogram read(ConnectionFactory connections, long end) throws SQLException {
    Histogram latency = new Histogram(3);
    String text = "SELECT litres FROM tank WHERE id = ?";
    try (Connection connection = connections.open();
        PreparedStatement statement = connection.prepareStatement(text)) {
      statement.setString(1, "t1");
      while (System.nanoTime() < end) {
        long start = System.nanoTime();
        try (ResultSet result = statement.executeQuery()) {
          if (!result.next()) {
            throw new IllegalStateException("the row with id t1 is missing");
          }
        }
        latency.recordValue(System.nanoTime() - start);
      }
    }
    return latency;
  }

  private static void print(int round, Measurement directResult, Measurement proxiedResult) {
    System.out.printf(
        "round %d: direct %.0f/s, p50 %.0f us, p99 %.0f us; through the host %.0f/s, p50 %.0f us,"
            + " p99 %.0f us; ratio of rates %.2f, added p50 %.0f us%n",
        round,
        directResult.rate(),
        directResult.microseconds(50),
        directResult.microseconds(99),
        proxiedResult.rate(),
        proxiedResult.microseconds(50),
        proxiedResult.microseconds(99),
        proxiedResult.rate() / directResult.rate(),
        proxiedResult.microseconds(50) - directResult.microseconds(50));
  }
}
