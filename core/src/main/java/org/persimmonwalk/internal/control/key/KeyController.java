package org.persimmonwalk.internal.control.key;

import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.CallerKey;

/**
 * Publishes the valid keys of the configuration, and the keys that were withdrawn since this host
 * started.
 */
public final class KeyController implements Controller {
  /** Bounds the memory for withdrawn keys; a key beyond the limit is rejected as unknown. */
  private static final int MAX_WITHDRAWN_KEYS = 10_000;

  private KeyController() {}

  /** Returns the controller. */
  public static KeyController create() {
    return new KeyController();
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    Map<KeyHash, CallerKey> valid = blackboard.get(Entries.CONFIGURATION).keys();
    Map<KeyHash, CallerKey> previous = blackboard.get(Entries.VALID_KEYS);
    if (valid == previous) {
      return;
    }
    Map<KeyHash, WorkspaceId> withdrawn = new HashMap<>(blackboard.get(Entries.WITHDRAWN_KEYS));
    withdrawn.keySet().removeAll(valid.keySet());
    for (CallerKey key : previous.values()) {
      if (!valid.containsKey(key.hash()) && withdrawn.size() < MAX_WITHDRAWN_KEYS) {
        withdrawn.put(key.hash(), key.workspace());
      }
    }
    blackboard.put(Entries.WITHDRAWN_KEYS, Map.copyOf(withdrawn));
    blackboard.put(Entries.VALID_KEYS, valid);
  }
}
