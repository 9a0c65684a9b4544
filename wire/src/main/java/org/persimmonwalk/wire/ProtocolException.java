package org.persimmonwalk.wire;

/** Thrown when a message violates the PostgreSQL v3 protocol. */
public final class ProtocolException extends RuntimeException {

  /** Creates the exception; the message says how the bytes violate the protocol. */
  public ProtocolException(String message) {
    super(message);
  }
}
