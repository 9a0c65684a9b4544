package org.persimmonwalk.model;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.Revision;

/**
 * The revisions that peers have reported since this host started. A starting host serves callers
 * only after enough peers have reported one or a wait has passed.
 *
 * @param highest the highest revision reported
 * @param firstPeers the first peers that reported a revision, at most {@link #REQUIRED_PEERS}
 */
public record PeerRevisions(Revision highest, Set<EntryHostId> firstPeers) {

  /** The number of peers after which a starting host does not wait for more. */
  public static final int REQUIRED_PEERS = 3;

  /** The value before any peer has reported a revision. */
  public static final PeerRevisions NONE = new PeerRevisions(Revision.NONE, Set.of());

  /** Copies the set. */
  public PeerRevisions {
    Objects.requireNonNull(highest, "highest");
    firstPeers = Set.copyOf(firstPeers);
  }

  /** Returns the value after the given peer has reported a revision. */
  public PeerRevisions with(EntryHostId peer, Revision revision) {
    Set<EntryHostId> peers = firstPeers;
    if (peers.size() < REQUIRED_PEERS && !peers.contains(peer)) {
      peers = new HashSet<>(firstPeers);
      peers.add(peer);
    }
    return new PeerRevisions(revision.isNewerThan(highest) ? revision : highest, peers);
  }

  /** Returns whether enough peers have reported a revision to start serving callers. */
  public boolean isSufficient() {
    return firstPeers.size() >= REQUIRED_PEERS;
  }
}
