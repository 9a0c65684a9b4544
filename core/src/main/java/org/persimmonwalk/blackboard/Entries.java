package org.persimmonwalk.blackboard;

import java.util.Map;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.GroupView;

/** The entries of the blackboard; each is written by one controller. */
public final class Entries {

  /** The configuration in force. */
  public static final EntryKey<Configuration> CONFIGURATION =
      EntryKey.of("configuration", Configuration.EMPTY);

  /** Samples, primary and confirmed positions of each database group. */
  public static final EntryKey<Map<DatabaseGroupId, GroupView>> GROUPS =
      EntryKey.of("groups", Map.of());

  private Entries() {}
}
