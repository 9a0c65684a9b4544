package org.persimmonwalk.routing;

import org.persimmonwalk.id.BackendServerId;

/** Tells how busy this host keeps each backend server. */
public interface ServerLoad {

  /** Returns the number of statements of this host that run or wait at the server. */
  int outstanding(BackendServerId server);
}
