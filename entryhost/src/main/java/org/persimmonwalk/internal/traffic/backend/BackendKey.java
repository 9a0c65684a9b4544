package org.persimmonwalk.internal.traffic.backend;

/** The numbers with which a client cancels statements on a backend connection. */
public record BackendKey(int processId, int secret) {

  /** The key of a server that has sent none. */
  public static final BackendKey NONE = new BackendKey(0, 0);

  /** Returns the key with the given numbers. */
  public static BackendKey of(int processId, int secret) {
    return new BackendKey(processId, secret);
  }
}
