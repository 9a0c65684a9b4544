package org.persimmonwalk.internal.traffic.backend;

import org.persimmonwalk.model.BackendServer;

/** Tells how many connections to a backend server this host may have open. */
public interface ConnectionAllowance {

  /** Returns the number of connections allowed now. */
  int connections(BackendServer server);
}
