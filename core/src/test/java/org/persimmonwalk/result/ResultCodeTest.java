package org.persimmonwalk.result;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ResultCodeTest {
  private static final Path DOCUMENT = Path.of("..", "docs", "ERRORS.md");

  /** Guards against a code that is missing in the documentation or described differently there. */
  @Test
  void shouldBeDocumentedRowByRow() throws IOException {
    List<String> documented =
        Files.readAllLines(DOCUMENT).stream().filter(line -> line.startsWith("| PW-")).toList();

    assertThat(documented)
        .containsExactlyElementsOf(
            Arrays.stream(ResultCode.values()).map(ResultCodeTest::row).toList());
  }

  /** Guards against two codes with the same number. */
  @Test
  void shouldHaveDistinctNumbers() {
    assertThat(
            Arrays.stream(ResultCode.values()).collect(Collectors.groupingBy(ResultCode::number)))
        .hasSize(ResultCode.values().length);
  }

  private static String row(ResultCode code) {
    String state =
        switch (code.statementState()) {
          case RAN -> "ran";
          case NOT_RUN -> "not run";
          case UNKNOWN -> "unknown";
          case NOT_APPLICABLE -> "-";
        };
    return String.format(
        "| %s | `%s` | %s | %s | %s | %s |",
        code.label(), code, code.sqlState(), state, code.summary(), code.advice());
  }
}
