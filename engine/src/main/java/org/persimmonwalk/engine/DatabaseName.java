package org.persimmonwalk.engine;

import java.util.Objects;

/** The database name that callers connect to; it selects their {@link Route}. */
public record DatabaseName(String value) {

  /** Checks that the name is present. */
  public DatabaseName {
    Objects.requireNonNull(value, "value");
  }

  /** Returns the name with the given text. */
  public static DatabaseName of(String value) {
    return new DatabaseName(value);
  }

  @Override
  public String toString() {
    return value;
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other || (other instanceof DatabaseName that && value.equals(that.value));
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
