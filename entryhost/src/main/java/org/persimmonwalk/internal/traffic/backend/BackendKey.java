package org.persimmonwalk.internal.traffic.backend;

/** The process id and secret that a PostgreSQL cancel request sends to identify a connection. */
public record BackendKey(int processId, int secret) {

  /** The key for a connection whose server has sent none. */
  public static final BackendKey NONE = new BackendKey(0, 0);

  /** Returns the key with the given numbers. */
  public static BackendKey of(int processId, int secret) {
    return new BackendKey(processId, secret);
  }
}
