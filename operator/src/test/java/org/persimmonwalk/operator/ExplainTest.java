package org.persimmonwalk.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Runs the subcommand explain on the log files in the folder "explain" of the test resources. */
class ExplainTest {
  private static final String FIRST = "src/test/resources/explain/host-a1.log";
  private static final String SECOND = "src/test/resources/explain/host-a2.log";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... arguments) {
    return OperatorCommandLine.create(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8))
        .run(List.of(arguments));
  }

  private List<String> events() {
    return out.toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.startsWith("10:"))
        .map(line -> line.split("\\s+")[2])
        .toList();
  }

  /**
   * Guards against a timeline that omits the cause, which another host has logged, or that includes
   * unrelated lines.
   */
  @Test
  void shouldShowTheCauseOfAFailedRequestInOrderOfTime() {
    assertThat(run("explain", "5c0e7a21d94b36f8", FIRST, SECOND)).isZero();

    assertThat(events())
        .containsExactly(
            "primary-suspected",
            "connection-lost",
            "primary-replacement-announced",
            "primary-changed",
            "statement-failed");
    assertThat(out.toString(StandardCharsets.UTF_8)).contains("PW-7101", "nothing ran");
  }

  /** Guards against empty output and exit code 0 when the id is mistyped. */
  @Test
  void shouldFailIfNoLineNamesTheRequest() {
    assertThat(run("explain", "0000", FIRST)).isEqualTo(2);

    assertThat(err.toString(StandardCharsets.UTF_8)).contains("no line names the request 0000");
  }

  /** Guards against a missing log file that is silently skipped. */
  @Test
  void shouldNameAFileThatCannotBeRead() {
    assertThat(run("explain", "5c0e7a21d94b36f8", "missing.log")).isEqualTo(2);

    assertThat(err.toString(StandardCharsets.UTF_8)).contains("missing.log");
  }
}
