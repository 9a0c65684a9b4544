package org.persimmonwalk.peer;

import java.util.Optional;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.SocketEndpoint;

/** Finds the endpoints at which entry hosts accept messages; safe for use by several threads. */
public interface PeerDirectory {

  /** Returns the endpoint of a host, empty if the host is unknown. */
  Optional<SocketEndpoint> endpointOf(EntryHostId host);
}
