package org.persimmonwalk.model;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.Revision;

/**
 * The revisions that peers have named since this host started.
 *
 * @param highest the highest one
 * @param firstPeers the first peers that named a revision, at most {@link #PEER_LIMIT}
 */
public record PeerRevisions(Revision highest, Set<EntryHostId> firstPeers) {

  /** A starting host that has heard this many peers need not wait for more. */
  public static final int PEER_LIMIT = 3;

  /** The value before a peer has named a revision. */
  public static final PeerRevisions NONE = new PeerRevisions(Revision.NONE, Set.of());

  /** Copies the set. */
  public PeerRevisions {
    Objects.requireNonNull(highest, "highest");
    firstPeers = Set.copyOf(firstPeers);
  }

  /** Returns the value after a peer has named a revision. */
  public PeerRevisions with(EntryHostId peer, Revision revision) {
    Set<EntryHostId> peers = firstPeers;
    if (peers.size() < PEER_LIMIT && !peers.contains(peer)) {
      peers = new HashSet<>(firstPeers);
      peers.add(peer);
    }
    return new PeerRevisions(revision.isNewerThan(highest) ? revision : highest, peers);
  }

  /** Returns whether enough peers have named a revision to start serving. */
  public boolean isSufficient() {
    return firstPeers.size() >= PEER_LIMIT;
  }
}
