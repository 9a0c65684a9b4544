package org.persimmonwalk.internal.operator.log;

import java.time.LocalTime;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A structured line of an entry host's log: {@code HH:MM:SS.mmm LEVEL event=NAME field=value ...}.
 *
 * @param source the host: the name before the time, which log collectors add, or else the file name
 * @param time the time of day on the clock of that host
 * @param event the name of the event
 * @param fields the other fields in the order of the line
 */
public record LogLine(String source, LocalTime time, String event, Map<String, String> fields) {
  private static final Pattern LINE =
      Pattern.compile(
          "(?s)(?<prefix>.*?)(?<time>\\d\\d:\\d\\d:\\d\\d\\.\\d{3}) [A-Z]+ event=(?<event>\\S+)"
              + "(?<rest>.*)");
  private static final Pattern FIELD = Pattern.compile("(\\w+)=(\"[^\"]*\"|\\[[^\\]]*\\]|\\S*)");
  private static final Pattern NAME_BEFORE_TIME = Pattern.compile("(\\S*[A-Za-z]\\S*)\\s*$");

  /** Copies the fields and keeps their order. */
  public LogLine {
    fields = new LinkedHashMap<>(fields);
  }

  /** Parses a line; empty if it is not a structured log line. */
  public static Optional<LogLine> parse(String file, String text) {
    Matcher line = LINE.matcher(text);
    if (!line.matches()) {
      return Optional.empty();
    }
    Matcher name = NAME_BEFORE_TIME.matcher(line.group("prefix"));
    Map<String, String> fields = new LinkedHashMap<>();
    Matcher field = FIELD.matcher(line.group("rest"));
    while (field.find()) {
      fields.put(field.group(1), unquoted(field.group(2)));
    }
    return Optional.of(
        new LogLine(
            name.find() ? name.group(1) : file,
            LocalTime.parse(line.group("time")),
            line.group("event"),
            fields));
  }

  private static String unquoted(String value) {
    boolean quoted = value.length() > 1 && value.startsWith("\"") && value.endsWith("\"");
    return quoted ? value.substring(1, value.length() - 1) : value;
  }

  /** Returns the value of a field; empty if the line has no such field. */
  public Optional<String> field(String name) {
    return Optional.ofNullable(fields.get(name));
  }

  /** Returns whether the value of any field equals the given one or is a list that contains it. */
  public boolean mentions(String value) {
    return fields.values().stream()
        .anyMatch(
            text ->
                text.equals(value)
                    || (text.startsWith("[")
                        && text.matches("\\[(.*[ ,])?" + Pattern.quote(value) + "([ ,].*)?\\]")));
  }

  /** Returns the fields as {@code name=value}, separated by spaces. */
  public String details() {
    StringBuilder text = new StringBuilder();
    fields.forEach(
        (name, value) -> text.append(text.isEmpty() ? "" : " ").append(name + "=" + value));
    return text.toString();
  }
}
