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
 * remembers which names were read so that {@link #rejectUnknownNames} finds the others.
 */
final class SettingsNode {
  private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");

  private final JsonNode node;
  private final String path;
  private final List<SettingFault> faults;
  private final Set<String> readNames = new HashSet<>();

  private SettingsNode(JsonNode node, String path, List<SettingFault> faults) {
    this.node = node;
    this.path = path;
    this.faults = faults;
  }

  static SettingsNode root(JsonNode node, List<SettingFault> faults) {
    return new SettingsNode(node, "", faults);
  }

  SettingsNode section(String name) {
    JsonNode child = readChild(name);
    if (!child.isMissingNode() && !child.isObject()) {
      fault(ResultCode.SETTING_INVALID, name, "is not a section; indent its settings below it");
      child = MissingNode.getInstance();
    }
    return new SettingsNode(child, pathOf(name), faults);
  }

  /** Returns the converted value, the default if the setting is missing, or null after a fault. */
  <T> T value(String name, Optional<T> defaultValue, Function<String, T> conversion) {
    JsonNode child = readChild(name);
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
    JsonNode child = readChild(name);
    return child.isMissingNode() || child.isNull() ? Optional.empty() : Optional.of(child.asText());
  }

  boolean flag(String name, boolean defaultValue) {
    Boolean value = value(name, Optional.of(defaultValue), SettingsNode::parseFlag);
    return value == null ? defaultValue : value;
  }

  int integer(String name, int defaultValue, int minimum, int maximum) {
    Integer value =
        value(name, Optional.of(defaultValue), text -> parseInteger(text, minimum, maximum));
    return value == null ? defaultValue : value;
  }

  Duration duration(String name, Duration defaultValue) {
    Duration value = value(name, Optional.of(defaultValue), SettingsNode::parseDuration);
    return value == null ? defaultValue : value;
  }

  /** Returns whether the section contains a value or a subsection of this name. */
  boolean contains(String name) {
    return !readChild(name).isMissingNode() && !node.path(name).isNull();
  }

  /** Records a fault for each name in the section that was not read. */
  void rejectUnknownNames() {
    node.fieldNames()
        .forEachRemaining(
            name -> {
              if (!readNames.contains(name)) {
                fault(
                    ResultCode.SETTING_UNKNOWN,
                    name,
                    "is not a setting; known here: " + knownNames());
              }
            });
  }

  private String knownNames() {
    return String.join(", ", readNames.stream().sorted().toList());
  }

  private JsonNode readChild(String name) {
    readNames.add(name);
    return node.path(name);
  }

  private String pathOf(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  void fault(ResultCode code, String name, String detail) {
    faults.add(SettingFault.of(code, pathOf(name), detail));
  }

  private static int parseInteger(String text, int minimum, int maximum) {
    String requirement = "must be a whole number from " + minimum + " to " + maximum;
    try {
      int value = Integer.parseInt(text);
      if (value < minimum || value > maximum) {
        throw new IllegalArgumentException(requirement);
      }
      return value;
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(requirement, e);
    }
  }

  private static boolean parseFlag(String text) {
    return switch (text) {
      case "true" -> true;
      case "false" -> false;
      default -> throw new IllegalArgumentException("must be true or false");
    };
  }

  private static Duration parseDuration(String text) {
    Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException(
          "must be a whole number with the unit ms, s, m or h, such as 500ms");
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
