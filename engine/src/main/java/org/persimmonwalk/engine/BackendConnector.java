package org.persimmonwalk.engine;

import org.persimmonwalk.id.WorkspaceId;

/** Opens connections to backend servers. */
public interface BackendConnector {

  /** Opens a connection for a workspace; the listener learns the result. */
  BackendConnection open(ServerEntry server, WorkspaceId workspace, BackendListener listener);
}
