package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Names an availability zone. */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

  /** Checks that the identifier is not empty and is valid Unicode. */
  public AvailabilityZone {
    Names.checkExternal("availability zone", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static AvailabilityZone of(String value) {
    return new AvailabilityZone(Names.check("availability zone", value));
  }

  /**
   * Returns the identifier with a name that another system has given, which need not be as short
   * and plain as those of {@link #of}.
   *
   * @throws IllegalArgumentException if the name is empty or is not valid Unicode
   */
  public static AvailabilityZone ofExternal(String value) {
    return new AvailabilityZone(value);
  }

  @Override
  public int compareTo(AvailabilityZone other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other || (other instanceof AvailabilityZone that && value.equals(that.value));
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
