package org.persimmonwalk.internal.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.persimmonwalk.result.ResultCode;

/**
 * A section of the settings file. It records every fault instead of stopping at the first one, and
 * remembers which names were read so that unknown names are found.
 */
final class SettingsNode {
  private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");

  private final JsonNode node;
  private final String path;
  private final List<SettingFault> faults;
  private final Set<String> read = new HashSet<>();

  private SettingsNode(JsonNode node, String path, List<SettingFault> faults) {
    this.node = node;
    this.path = path;
    this.faults = faults;
  }

  static SettingsNode root(JsonNode node, List<SettingFault> faults) {
    return new SettingsNode(node, "", faults);
  }

  SettingsNode section(String name) {
    JsonNode child = take(name);
    if (!child.isMissingNode() && !child.isObject()) {
      fault(ResultCode.SETTING_INVALID, name, "is not a section; indent its settings below it");
      child = MissingNode.getInstance();
    }
    return new SettingsNode(child, pathOf(name), faults);
  }

  /** Returns the converted value, the default if it is missing, or null after a fault. */
  <T> T value(String name, Optional<T> defaultValue, Function<String, T> conversion) {
    JsonNode child = take(name);
    if (child.isMissingNode() || child.isNull()) {
      if (defaultValue.isEmpty()) {
        fault(ResultCode.SETTING_MISSING, name, "is missing");
      }
      return defaultValue.orElse(null);
    }
    if (!child.isValueNode()) {
      fault(ResultCode.SETTING_INVALID, name, "is not a single value");
      return null;
    }
    try {
      return conversion.apply(child.asText());
    } catch (IllegalArgumentException e) {
      fault(ResultCode.SETTING_INVALID, name, "'" + child.asText() + "': " + e.getMessage());
      return null;
    }
  }

  Optional<String> optionalText(String name) {
    JsonNode child = take(name);
    return child.isMissingNode() || child.isNull() ? Optional.empty() : Optional.of(child.asText());
  }

  boolean flag(String name, boolean defaultValue) {
    Boolean value = value(name, Optional.of(defaultValue), SettingsNode::parseFlag);
    return value == null ? defaultValue : value;
  }

  int integer(String name, int defaultValue, int minimum, int maximum) {
    Integer value = value(name, Optional.of(defaultValue), text -> parse(text, minimum, maximum));
    return value == null ? defaultValue : value;
  }

  Duration duration(String name, Duration defaultValue) {
    Duration value = value(name, Optional.of(defaultValue), SettingsNode::parseDuration);
    return value == null ? defaultValue : value;
  }

  /** Returns whether the section has a value or a section of this name. */
  boolean contains(String name) {
    return !take(name).isMissingNode() && !node.path(name).isNull();
  }

  /** Records a fault for each name that nobody has read. */
  void rejectUnknown() {
    node.fieldNames()
        .forEachRemaining(
            name -> {
              if (!read.contains(name)) {
                fault(ResultCode.SETTING_UNKNOWN, name, "is not a setting; known here: " + known());
              }
            });
  }

  private String known() {
    return String.join(", ", read.stream().sorted().toList());
  }

  private JsonNode take(String name) {
    read.add(name);
    return node.path(name);
  }

  private String pathOf(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  void fault(ResultCode code, String name, String detail) {
    faults.add(SettingFault.of(code, pathOf(name), detail));
  }

  private static int parse(String text, int minimum, int maximum) {
    String allowed = "allowed are whole numbers from " + minimum + " to " + maximum;
    try {
      int value = Integer.parseInt(text);
      if (value < minimum || value > maximum) {
        throw new IllegalArgumentException(allowed);
      }
      return value;
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(allowed, e);
    }
  }

  private static boolean parseFlag(String text) {
    return switch (text) {
      case "true" -> true;
      case "false" -> false;
      default -> throw new IllegalArgumentException("allowed are true and false");
    };
  }

  private static Duration parseDuration(String text) {
    Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("allowed are a number and ms, s, m or h, such as 500ms");
    }
    long number = Long.parseLong(matcher.group(1));
    return switch (matcher.group(2)) {
      case "ms" -> Duration.ofMillis(number);
      case "s" -> Duration.ofSeconds(number);
      case "m" -> Duration.ofMinutes(number);
      default -> Duration.ofHours(number);
    };
  }
}
