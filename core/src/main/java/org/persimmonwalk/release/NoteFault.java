package org.persimmonwalk.release;

import java.util.Objects;

/**
 * A reason for refusing a release note, as reported to the operator.
 *
 * @param path where the fault is: in the release note, for example {@code changed/workspaces/oil},
 *     or in the resulting configuration, for example {@code workspaces/oil/groups}
 * @param message what is wrong and, where it is not plain, how to correct it
 */
public record NoteFault(String path, String message) {

  /** Checks that both parts are present. */
  public NoteFault {
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(message, "message");
  }

  /** Returns the fault at the given path. */
  public static NoteFault of(String path, String message) {
    return new NoteFault(path, message);
  }

  @Override
  public String toString() {
    return path + ": " + message;
  }
}
