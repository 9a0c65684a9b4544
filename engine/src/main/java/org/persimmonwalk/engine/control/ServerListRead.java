package org.persimmonwalk.engine.control;

import java.util.List;
import java.util.Optional;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.ServerEntry;

/**
 * The answer to {@link ReadServerList}.
 *
 * @param entries empty if the store didn't answer
 * @param era the era of the store that answered; unknown if it doesn't tell
 */
public record ServerListRead(Optional<List<ServerEntry>> entries, StoreEra era)
    implements Observation {

  /** Returns the end of a call without an answer. */
  public static ServerListRead unanswered() {
    return new ServerListRead(Optional.empty(), StoreEra.UNKNOWN);
  }
}
