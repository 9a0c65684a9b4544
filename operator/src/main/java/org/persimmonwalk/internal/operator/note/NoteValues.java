package org.persimmonwalk.internal.operator.note;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * Converts the text of scalar values. Each method throws {@link IllegalArgumentException} with a
 * message that quotes the value and shows a valid one.
 */
final class NoteValues {
  private static final Pattern NUMBER = Pattern.compile("\\d{1,9}(\\.\\d{1,6})?");
  private static final Pattern WHOLE_NUMBER = Pattern.compile("\\d{1,9}");
  private static final Pattern REVISION = Pattern.compile("\\d{1,18}");
  private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");
  private static final Pattern ENDPOINT =
      Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!:)|(?=:))){4}:\\d{1,5}");

  private NoteValues() {}

  static double number(String text) {
    check(text, NUMBER, "a number such as 500 or 12.5");
    return Double.parseDouble(text);
  }

  static int wholeNumber(String text) {
    check(text, WHOLE_NUMBER, "a whole number such as 50");
    return Integer.parseInt(text);
  }

  static long revision(String text) {
    check(text, REVISION, "the number of a revision, such as 41");
    return Long.parseLong(text);
  }

  static boolean flag(String text) {
    if (!text.equals("true") && !text.equals("false")) {
      throw new IllegalArgumentException("'" + shorten(text) + "' is not true or false");
    }
    return text.equals("true");
  }

  static Duration duration(String text) {
    check(text, DURATION, "a duration; write a number and ms, s, m or h, such as 30s");
    Matcher matcher = DURATION.matcher(text);
    matcher.matches();
    long number = Long.parseLong(matcher.group(1));
    return switch (matcher.group(2)) {
      case "ms" -> Duration.ofMillis(number);
      case "s" -> Duration.ofSeconds(number);
      case "m" -> Duration.ofMinutes(number);
      default -> Duration.ofHours(number);
    };
  }

  static SocketEndpoint endpoint(String text) {
    check(text, ENDPOINT, "an IPv4 address and a port, such as 10.0.0.1:5432");
    return SocketEndpoint.parse(text);
  }

  private static void check(String text, Pattern pattern, String expected) {
    if (!pattern.matcher(text).matches()) {
      throw new IllegalArgumentException("'" + shorten(text) + "' is not " + expected);
    }
  }

  private static String shorten(String text) {
    return text.length() > 40 ? text.substring(0, 40) + "..." : text;
  }
}
