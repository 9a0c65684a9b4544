package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Names an availability zone. */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

  /** Checks the text of the identifier. */
  public AvailabilityZone {
    Names.check("availability zone", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static AvailabilityZone of(String value) {
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
}
