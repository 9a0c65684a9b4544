package org.persimmonwalk.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

class OperationsDocumentTest {
  private static final Path DOCUMENT = Path.of("..", "docs", "OPERATIONS.md");
  private static final Pattern ROW =
      Pattern.compile("\\| `(\\w+)\\.(\\w+)` \\| [^|]+ \\| (\\w+) \\|[^|]+\\|");

  /** Guards against an example in the documentation that the entry host rejects. */
  @Test
  void shouldDocumentValidExample() throws IOException {
    String text = Files.readString(DOCUMENT);
    String example = text.substring(text.indexOf("```yaml\nhost:") + 8);

    Settings settings = SettingsReader.create().parse(example.substring(0, example.indexOf("```")));

    assertThat(settings.admin().token()).contains("change-me-too");
  }

  /** Guards against a documented setting name or default that differs from the code. */
  @Test
  void shouldDocumentNamesAndDefaultsOfSettings() throws IOException {
    StringBuilder documented = new StringBuilder();
    String required =
        """
        host: {id: a, zone: b}
        caller: {listen: "127.0.0.1:1", plainText: true}
        backend: {user: a, password: b}
        peer: {listen: "127.0.0.1:2", plainText: true}
        platform: {endpoint: "127.0.0.1:3"}
        admin: {listen: "127.0.0.1:4"}
        """;
    Matcher row = ROW.matcher(Files.readString(DOCUMENT));
    int rows = 0;
    while (row.find()) {
      rows++;
      if (!row.group(3).equals("required") && !row.group(3).equals("none")) {
        documented.append(row.group(1)).append(": ").append(row.group(2)).append('=');
        documented.append(row.group(3)).append('\n');
      }
    }

    assertThat(rows).isEqualTo(19);
    Settings defaults = SettingsReader.create().parse(required);
    assertThat(SettingsReader.create().parse(merge(required, documented.toString())))
        .isEqualTo(defaults);
  }

  /** Adds each line {@code section: name=value} to the YAML flow mapping of its section. */
  private static String merge(String settings, String lines) {
    String merged = settings;
    for (String line : lines.split("\n")) {
      String section = line.substring(0, line.indexOf(':'));
      String entry = line.substring(line.indexOf(' ') + 1).replace("=", ": ");
      merged = merged.replace("\n" + section + ": {", "\n" + section + ": {" + entry + ", ");
    }
    return merged;
  }
}
