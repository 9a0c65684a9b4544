package org.persimmonwalk.model;

/**
 * The term of the primary of a database group (a PostgreSQL timeline). Each promotion raises it.
 */
public record Term(long number) implements Comparable<Term> {

  /** The term before any server of a group was seen. */
  public static final Term NONE = new Term(0);

  /** Checks that the number is not negative. */
  public Term {
    if (number < 0) {
      throw new IllegalArgumentException("term " + number + " is negative");
    }
  }

  /**
   * Returns the term with the given number.
   *
   * @throws IllegalArgumentException if the number is negative
   */
  public static Term of(long number) {
    return new Term(number);
  }

  /** Returns the term that follows this one. */
  public Term next() {
    return new Term(number + 1);
  }

  /** Returns whether this term is higher than the other one. */
  public boolean isAfter(Term other) {
    return number > other.number;
  }

  @Override
  public int compareTo(Term other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
