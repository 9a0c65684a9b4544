package org.persimmonwalk.blackboard;

import java.util.Objects;

/**
 * Names a typed entry of the blackboard. Two keys are equal only if they are the same object.
 *
 * @param <T> the type of the value, which must be immutable
 */
public final class EntryKey<T> {
  private final String name;
  private final T initialValue;

  private EntryKey(String name, T initialValue) {
    this.name = Objects.requireNonNull(name, "name");
    this.initialValue = Objects.requireNonNull(initialValue, "initialValue");
  }

  /** Returns a new key whose entry has the given value until a controller writes it. */
  public static <T> EntryKey<T> of(String name, T initialValue) {
    return new EntryKey<>(name, initialValue);
  }

  /** Returns the value of an entry that no controller has written. */
  public T initialValue() {
    return initialValue;
  }

  @Override
  public String toString() {
    return name;
  }
}
