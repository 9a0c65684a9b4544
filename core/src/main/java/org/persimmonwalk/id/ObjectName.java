package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Names an object of the platform's object store. */
public record ObjectName(String value) implements Comparable<ObjectName> {

  /** Checks the text of the identifier. */
  public ObjectName {
    Names.check("object", value);
  }

  /**
   * Returns the name with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static ObjectName of(String value) {
    return new ObjectName(value);
  }

  @Override
  public int compareTo(ObjectName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
