package org.persimmonwalk.blackboard;

/**
 * Receives each published snapshot on the control thread. It must return quickly because the
 * round's commands and the next round wait for it.
 */
public interface SnapshotListener {

  /** Called with the snapshot of a round before the round's commands are executed. */
  void onPublished(Snapshot snapshot);
}
