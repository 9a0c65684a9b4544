package org.persimmonwalk.internal.engine.traffic;

import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.DatabaseGroupId;

/** The position of a session's newest commit in each database group. */
final class CommittedPositions {
  private final Map<DatabaseGroupId, TermPosition> positions = new HashMap<>();

  void add(Route route, TermPosition position) {
    positions.merge(route.group(), position, TermPosition::max);
  }

  /**
   * Replaces a minimum position of an earlier term by one that the current primary returned: no
   * server may hold the old position any more.
   */
  void refresh(Route route, TermPosition position) {
    TermPosition known = minimum(route);
    if (position.term() > known.term() && known.term() > 0) {
      positions.put(route.group(), position);
    }
  }

  /** Returns the position that reads on the route must include. */
  TermPosition minimum(Route route) {
    return route.kind() == RouteKind.BOUNDED_STALENESS
        ? TermPosition.ZERO
        : positions.getOrDefault(route.group(), TermPosition.ZERO);
  }
}
