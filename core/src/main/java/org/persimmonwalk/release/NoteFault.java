package org.persimmonwalk.release;

import java.util.Objects;

/**
 * A reason for refusing a release note.
 *
 * @param path the part of the release note, for example {@code changed/workspaces/oil}
 * @param message what is wrong and what to do
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
