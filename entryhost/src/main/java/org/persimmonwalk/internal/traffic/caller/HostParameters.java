package org.persimmonwalk.internal.traffic.caller;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.persimmonwalk.admission.Urgency;
import org.persimmonwalk.id.IdempotencyKey;
import org.persimmonwalk.id.SessionId;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.routing.MinimumPosition;

/** The parameters with the prefix {@code persimmonwalk.} that one caller has set. */
final class HostParameters {
  static final String PREFIX = "persimmonwalk.";
  static final String POSITION = PREFIX + "position";

  private static final Pattern SET_STATEMENT =
      Pattern.compile(
          "(?i)\\A\\s*SET\\s+(?:SESSION\\s+)?persimmonwalk\\.(\\w+)"
              + "\\s*(?:=|TO)\\s*(.*?)\\s*;?\\s*\\z",
          Pattern.DOTALL);
  private static final Pattern DURATION = Pattern.compile("(\\d{1,9})\\s*(ms|s|min)");

  private Optional<SessionId> session = Optional.empty();
  private Optional<Duration> maximumAge = Optional.empty();
  private Optional<IdempotencyKey> idempotencyKey = Optional.empty();
  private Urgency urgency = Urgency.NORMAL;
  private Optional<Duration> deadline = Optional.empty();
  private MinimumPosition minimumPosition = MinimumPosition.none();

  private HostParameters() {}

  static HostParameters create() {
    return new HostParameters();
  }

  Optional<SessionId> session() {
    return session;
  }

  Optional<Duration> maximumAge() {
    return maximumAge;
  }

  Urgency urgency() {
    return urgency;
  }

  /** Returns how long a statement may wait before it starts, if the caller has set it. */
  Optional<Duration> deadline() {
    return deadline;
  }

  /** Returns and clears the idempotency key, which applies to one statement. */
  Optional<IdempotencyKey> takeIdempotencyKey() {
    Optional<IdempotencyKey> taken = idempotencyKey;
    idempotencyKey = Optional.empty();
    return taken;
  }

  MinimumPosition minimumPosition() {
    return minimumPosition;
  }

  /** Raises the minimum position to a position that the session has reached. */
  void raiseMinimumPosition(GroupPosition position) {
    minimumPosition =
        minimumPosition instanceof MinimumPosition.Known known
            ? MinimumPosition.known(known.position().max(position))
            : MinimumPosition.known(position);
  }

  /** Replaces an unknown minimum position by the one that the router has determined. */
  void resolveMinimumPosition(MinimumPosition resolved) {
    if (minimumPosition instanceof MinimumPosition.Unknown) {
      minimumPosition = resolved;
    }
  }

  /**
   * Sets the parameter that a SET statement names.
   *
   * @throws PersimmonwalkException with {@code INVALID_PARAMETER} if the name or value is invalid
   */
  void apply(String statement, MonotonicTime now) {
    Matcher matcher = SET_STATEMENT.matcher(statement);
    if (!matcher.matches()) {
      throw invalid("the statement is not of the form SET persimmonwalk.name = 'value'", null);
    }
    set(matcher.group(1).toLowerCase(Locale.ROOT), unquote(matcher.group(2)), now);
  }

  /**
   * Sets a parameter. An empty value or {@code default} resets it.
   *
   * @param name the name without the prefix
   * @throws PersimmonwalkException with {@code INVALID_PARAMETER} if the name or value is invalid
   */
  void set(String name, String value, MonotonicTime now) {
    boolean reset = value.isEmpty() || value.equalsIgnoreCase("default");
    try {
      switch (name) {
        case "session" -> declareSession(reset, value, now);
        case "position" -> declarePosition(reset, value, now);
        case "max_age" -> maximumAge = reset ? Optional.empty() : Optional.of(parseDuration(value));
        case "urgency" -> urgency = reset ? Urgency.NORMAL : parseUrgency(value);
        case "deadline" -> deadline = reset ? Optional.empty() : Optional.of(parseDuration(value));
        case "idempotency_key" ->
            idempotencyKey = reset ? Optional.empty() : Optional.of(IdempotencyKey.of(value));
        default ->
            throw new IllegalArgumentException(
                "the parameter is unknown; known are session, position, max_age, urgency,"
                    + " deadline and idempotency_key");
      }
    } catch (IllegalArgumentException e) {
      throw invalid(PREFIX + name + " = '" + value + "': " + e.getMessage(), e);
    }
  }

  private void declareSession(boolean reset, String value, MonotonicTime now) {
    session = reset ? Optional.empty() : Optional.of(SessionId.of(value));
    minimumPosition = reset ? MinimumPosition.none() : MinimumPosition.unknown(now);
  }

  private void declarePosition(boolean reset, String value, MonotonicTime now) {
    minimumPosition =
        reset ? MinimumPosition.unknown(now) : MinimumPosition.known(GroupPosition.parse(value));
  }

  private static Urgency parseUrgency(String value) {
    try {
      return Urgency.valueOf(value.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("must be urgent, normal or bulk", e);
    }
  }

  private static Duration parseDuration(String value) {
    Matcher matcher = DURATION.matcher(value);
    if (!matcher.matches()) {
      throw new IllegalArgumentException(
          "must be a number followed by ms, s or min, such as 500ms");
    }
    long number = Long.parseLong(matcher.group(1));
    return switch (matcher.group(2)) {
      case "ms" -> Duration.ofMillis(number);
      case "s" -> Duration.ofSeconds(number);
      default -> Duration.ofMinutes(number);
    };
  }

  private static String unquote(String value) {
    boolean quoted = value.length() >= 2 && value.startsWith("'") && value.endsWith("'");
    return quoted ? value.substring(1, value.length() - 1).replace("''", "'") : value;
  }

  private static PersimmonwalkException invalid(String detail, Throwable cause) {
    return PersimmonwalkException.of(ResultCode.INVALID_PARAMETER, detail, cause);
  }
}
