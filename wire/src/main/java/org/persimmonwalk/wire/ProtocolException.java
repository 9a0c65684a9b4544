package org.persimmonwalk.wire;

/** A message that does not follow the PostgreSQL v3 protocol. */
public final class ProtocolException extends RuntimeException {

  /** Creates the exception; the message says what is wrong with the bytes. */
  public ProtocolException(String message) {
    super(message);
  }
}
