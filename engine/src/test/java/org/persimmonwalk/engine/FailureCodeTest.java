package org.persimmonwalk.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class FailureCodeTest {
  private static final Path DOCUMENT = Path.of("..", "docs", "ERRORS.md");

  /** Guards against codes missing from the operators' table, and against numbers used twice. */
  @Test
  void shouldListEachCodeOnceInTheTable() throws IOException {
    String document = Files.readString(DOCUMENT);

    for (FailureCode code : FailureCode.values()) {
      assertThat(document).containsOnlyOnce("| `" + code.name() + "` | " + code.label() + " |");
    }
    assertThat(Arrays.stream(FailureCode.values()).map(FailureCode::label)).doesNotHaveDuplicates();
  }
}
