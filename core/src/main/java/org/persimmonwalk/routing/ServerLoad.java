package org.persimmonwalk.routing;

import org.persimmonwalk.id.BackendServerId;

/** The load that this host places on each backend server. Implementations are thread-safe. */
public interface ServerLoad {

  /** Returns the number of this host's statements that are running on or waiting for the server. */
  int outstanding(BackendServerId server);
}
