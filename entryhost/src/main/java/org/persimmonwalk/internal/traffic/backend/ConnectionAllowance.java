package org.persimmonwalk.internal.traffic.backend;

import org.persimmonwalk.model.BackendServer;

/** The limit on the connections that this host may have open to a backend server. */
public interface ConnectionAllowance {

  /** Returns the number of connections allowed now. */
  int connections(BackendServer server);
}
