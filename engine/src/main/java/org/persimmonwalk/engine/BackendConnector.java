package org.persimmonwalk.engine;

import org.persimmonwalk.id.WorkspaceId;

/** Opens connections to backend servers; implemented by the front end. */
public interface BackendConnector {

  /** Starts to open a connection for a workspace; the listener receives the result. */
  BackendConnection open(ServerEntry server, WorkspaceId workspace, BackendListener listener);
}
