package org.persimmonwalk.bench.capacity;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Measures the load of an entry host at several deployment sizes and fits a line to each quantity.
 * {@code docs/CAPACITY.md} extrapolates these lines to the target size.
 */
public final class CapacityBenchmark {
  private static final List<String> SECTIONS =
      List.of("control", "store", "release", "traffic", "connections", "probes");

  @Option(name = "--sections", usage = "measurements to run, separated by commas")
  private String sections = String.join(",", SECTIONS);

  @Option(name = "--seconds", usage = "simulated seconds of each measurement of the control loop")
  private int seconds = 10;

  @Option(
      name = "--warm-up",
      usage = "simulated seconds before a control loop measurement; 66 fill the position history")
  private int warmUp = 66;

  @Option(name = "--check", usage = "also measure the control loop in a fleet of 430 hosts")
  private boolean check;

  @Option(name = "--real-seconds", usage = "seconds of each measurement of a real entry host")
  private int realSeconds = 5;

  @Option(
      name = "--size",
      usage = "measure the control loop at this size only: hosts,groups,workspaces")
  private String size = "";

  @Option(name = "--json", usage = "file to write the measurements to, as JSON")
  private String json = "";

  private CapacityBenchmark() {}

  /** Runs the benchmark. */
  public static void main(String[] arguments) throws Exception {
    CapacityBenchmark benchmark = new CapacityBenchmark();
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
    CapacityReport report = CapacityReport.create();
    for (String section : sections.split(",")) {
      run(section, report);
    }
    System.out.print(report.text());
    if (!json.isEmpty()) {
      Files.writeString(Path.of(json), report.json());
    }
  }

  private void run(String section, CapacityReport report) throws Exception {
    switch (section) {
      case "control" -> {
        ControlMeasurement control =
            ControlMeasurement.of(report, Duration.ofSeconds(warmUp), Duration.ofSeconds(seconds));
        if (!size.isEmpty()) {
          control.run(Sizes.parse(size));
          return;
        }
        control.run();
        if (check) {
          control.runCheck();
        }
      }
      case "store" -> StoreMeasurement.of(report).run();
      case "release" -> ReleaseMeasurement.of(report).run();
      case "traffic" -> TrafficMeasurement.of(report, realSeconds).run();
      case "connections" -> ConnectionMeasurement.of(report).run();
      case "probes" -> ProbeMeasurement.of(report, realSeconds).run();
      default ->
          throw new IllegalArgumentException(
              "section " + section + " is unknown; the sections are " + SECTIONS);
    }
  }
}
