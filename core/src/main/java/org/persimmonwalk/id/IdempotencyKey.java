package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Identifies a statement, so that a retry of it does not run it twice. */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

  /** Checks the text of the identifier. */
  public IdempotencyKey {
    Names.check("idempotency key", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static IdempotencyKey of(String value) {
    return new IdempotencyKey(value);
  }

  @Override
  public int compareTo(IdempotencyKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
