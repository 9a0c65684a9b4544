package org.persimmonwalk.internal.engine.traffic;

import org.persimmonwalk.id.BackendServerId;

/** Identifies a connection of this host to a backend server; numbers are never reused. */
record ConnectionId(BackendServerId server, long number) {

  @Override
  public String toString() {
    return server + "/" + number;
  }
}
