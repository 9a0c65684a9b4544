package org.persimmonwalk.engine;

/**
 * The name of a prepared statement on one backend connection. It is a number and never holds text
 * of a caller, which could change how a server divides a message into fields.
 *
 * @param number different for each statement that the connection has ever prepared
 */
public record PreparedName(long number) {

  /** Returns the name with the given number. */
  public static PreparedName of(long number) {
    return new PreparedName(number);
  }

  @Override
  public String toString() {
    return "p" + number;
  }
}
