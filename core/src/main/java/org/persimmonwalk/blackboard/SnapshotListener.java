package org.persimmonwalk.blackboard;

/** Is told of each published snapshot, on the control thread; must return quickly. */
public interface SnapshotListener {

  /** Takes note of a new snapshot. */
  void published(Snapshot snapshot);
}
