package org.persimmonwalk.engine;

import java.util.Objects;

/** The id that a caller gave to a statement. */
public record RequestId(String value) {

  /** The id of statements that the entry host issues itself. */
  public static final RequestId INTERNAL = new RequestId("-");

  /** Checks that the id is present. */
  public RequestId {
    Objects.requireNonNull(value, "value");
  }

  /** Returns the id with the given text. */
  public static RequestId of(String value) {
    return new RequestId(value);
  }

  @Override
  public String toString() {
    return value;
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other || (other instanceof RequestId that && value.equals(that.value));
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
