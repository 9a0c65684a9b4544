package org.persimmonwalk.internal.traffic.caller;

import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/** Reads the parameters with which a caller opens a connection. */
final class StartupParameters {
  private static final Pattern OPTION =
      Pattern.compile("-c\\s*persimmonwalk\\.(\\w+)=((?:\\\\.|\\S)*)");

  private final Map<String, String> parameters;

  private StartupParameters(Map<String, String> parameters) {
    this.parameters = parameters;
  }

  static StartupParameters of(Map<String, String> parameters) {
    return new StartupParameters(parameters);
  }

  /** Returns the workspace, which is the user name. */
  WorkspaceId workspace() {
    return read("user", WorkspaceId::of);
  }

  /** Returns the database group, which is the database name. */
  DatabaseGroupId group() {
    String name = parameters.containsKey("database") ? "database" : "user";
    return read(name, DatabaseGroupId::of);
  }

  /**
   * Returns the host parameters, given as start-up parameters or in {@code options}.
   *
   * @throws PersimmonwalkException with {@code INVALID_PARAMETER} if one is invalid
   */
  HostParameters hostParameters(MonotonicTime now) {
    HostParameters result = HostParameters.create();
    Matcher matcher = OPTION.matcher(parameters.getOrDefault("options", ""));
    while (matcher.find()) {
      result.set(matcher.group(1), matcher.group(2).replaceAll("\\\\(.)", "$1"), now);
    }
    parameters.forEach(
        (name, value) -> {
          if (name.startsWith(HostParameters.PREFIX)) {
            result.set(name.substring(HostParameters.PREFIX.length()), value, now);
          }
        });
    return result;
  }

  private <T> T read(String name, Function<String, T> conversion) {
    try {
      return conversion.apply(parameters.get(name));
    } catch (IllegalArgumentException e) {
      throw PersimmonwalkException.of(
          ResultCode.INVALID_PARAMETER, "start-up parameter " + name + ": " + e.getMessage(), e);
    }
  }
}
