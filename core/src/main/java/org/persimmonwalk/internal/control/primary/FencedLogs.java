package org.persimmonwalk.internal.control.primary;

import java.util.Comparator;
import java.util.Map;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.GroupView;

/** The ends of the logs of fenced servers. */
final class FencedLogs {
  /**
   * The term of the last record counts before the position: an old primary may have a long tail of
   * a lower term that no replica received.
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

  /** Returns the server whose log holds every acknowledged write; at best the former primary. */
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
