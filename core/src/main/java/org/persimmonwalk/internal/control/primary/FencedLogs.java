package org.persimmonwalk.internal.control.primary;

import java.util.Comparator;
import java.util.Map;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.GroupView;

/** The log ends of the fenced servers, from which the server to promote is chosen. */
final class FencedLogs {
  /**
   * Compares the term of the last record before the position, because an old primary may have a
   * long tail of records of a lower term that no replica received.
   */
  private static final Comparator<GroupPosition> BY_TERM_AND_POSITION =
      Comparator.comparing(GroupPosition::term).thenComparing(GroupPosition::position);

  private final GroupView group;
  private final Map<BackendServerId, GroupPosition> fenced;

  private FencedLogs(GroupView group, Map<BackendServerId, GroupPosition> fenced) {
    this.group = group;
    this.fenced = fenced;
  }

  static FencedLogs of(GroupView group, Map<BackendServerId, GroupPosition> fenced) {
    return new FencedLogs(group, fenced);
  }

  /**
   * Returns the server with the most advanced log, which holds every acknowledged write. Among
   * equals, the old primary is preferred, then the greatest identifier.
   */
  BackendServerId mostAdvanced() {
    return fenced.entrySet().stream()
        .max(
            Comparator.comparing(
                    Map.Entry<BackendServerId, GroupPosition>::getValue, BY_TERM_AND_POSITION)
                .thenComparing(entry -> group.primary().filter(entry.getKey()::equals).isPresent())
                .thenComparing(Map.Entry::getKey, Comparator.comparing(BackendServerId::value)))
        .orElseThrow()
        .getKey();
  }
}
