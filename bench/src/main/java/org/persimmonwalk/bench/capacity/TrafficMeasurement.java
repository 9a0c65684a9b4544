package org.persimmonwalk.bench.capacity;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;
import org.persimmonwalk.bench.LocalDeployment;
import org.persimmonwalk.entryhost.TrafficListener;

/** Measures the processor time per statement through a real entry host, for reads and writes. */
final class TrafficMeasurement {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final String READ = "SELECT litres FROM tank WHERE id = ?";
  private static final String WRITE = "UPDATE tank SET litres = '1' WHERE id = ?";

  /** Enough for the JIT compiler to compile the code that a statement runs through. */
  private static final int WARM_UP_RUNS = 4;

  private static final int WARM_UP_RATE = 4_000;
  private static final int READERS = 8;

  /** More than the readers: a write waits for a replica, so each writer reaches a lower rate. */
  private static final int WRITERS = 60;

  private static final List<Integer> READ_RATES = List.of(500, 1_000, 1_500, 2_000);
  private static final List<Integer> WRITE_RATES = List.of(100, 200, 400, 600);

  private final CapacityReport report;
  private final int seconds;

  private TrafficMeasurement(CapacityReport report, int seconds) {
    this.report = report;
    this.seconds = seconds;
  }

  static TrafficMeasurement of(CapacityReport report, int seconds) {
    return new TrafficMeasurement(report, seconds);
  }

  void run() throws Exception {
    try (LocalDeployment deployment = LocalDeployment.start(1, new TrafficListener() {})) {
      prepare(deployment);
      warmUp(deployment, READ, READERS);
      for (int rate : READ_RATES) {
        add("read", measure(deployment, READ, READERS, rate));
      }
      warmUp(deployment, WRITE, WRITERS);
      for (int rate : WRITE_RATES) {
        add("write", measure(deployment, WRITE, WRITERS, rate));
      }
    }
  }

  private void warmUp(LocalDeployment deployment, String text, int callers) throws Exception {
    for (int i = 0; i < WARM_UP_RUNS; i++) {
      measure(deployment, text, callers, WARM_UP_RATE);
    }
  }

  private record Result(double rate, double trafficMilliseconds, double controlMilliseconds) {}

  private void add(String kind, Result result) {
    report.add(
        "processor time of event loops, ms/s",
        kind + "s/s",
        "1 group, 1 host",
        result.rate(),
        result.trafficMilliseconds());
    report.add(
        "processor time of the control thread, ms/s",
        kind + "s/s",
        "1 group, 1 host",
        result.rate(),
        result.controlMilliseconds());
    System.err.printf("measured: %.0f %ss/s%n", result.rate(), kind);
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

  private Result measure(LocalDeployment deployment, String text, int callers, int rate)
      throws Exception {
    List<Connection> connections = new ArrayList<>();
    for (int i = 0; i < callers; i++) {
      connections.add(deployment.connect(0, Map.of()));
    }
    ExecutorService executor = Executors.newFixedThreadPool(callers);
    try {
      ThreadTimes before = ThreadTimes.ofNewestHost();
      long start = System.nanoTime();
      long end = start + (long) (seconds * NANOSECONDS_PER_SECOND);
      long done = runStatements(executor, connections, text, rate, end);
      LockSupport.parkNanos(end - System.nanoTime());
      double elapsed = (System.nanoTime() - start) / NANOSECONDS_PER_SECOND;
      ThreadTimes times = ThreadTimes.ofNewestHost().minus(before);
      return new Result(
          done / elapsed, times.traffic() / 1e6 / elapsed, times.control() / 1e6 / elapsed);
    } finally {
      executor.shutdown();
      for (Connection connection : connections) {
        connection.close();
      }
    }
  }

  private static long runStatements(
      ExecutorService executor, List<Connection> connections, String text, int rate, long end)
      throws Exception {
    if (rate == 0) {
      return 0;
    }
    List<Future<Long>> results = new ArrayList<>();
    long pause = (long) (NANOSECONDS_PER_SECOND * connections.size() / rate);
    for (Connection connection : connections) {
      results.add(executor.submit(() -> repeat(connection, text, pause, end)));
    }
    long done = 0;
    for (Future<Long> result : results) {
      done += result.get();
    }
    return done;
  }

  private static long repeat(Connection connection, String text, long pause, long end)
      throws SQLException {
    long done = 0;
    long next = System.nanoTime();
    try (PreparedStatement statement = connection.prepareStatement(text)) {
      statement.setString(1, "t1");
      while (next < end) {
        LockSupport.parkNanos(next - System.nanoTime());
        statement.execute();
        done++;
        next = Math.max(next + pause, System.nanoTime() - pause);
      }
    }
    return done;
  }
}
