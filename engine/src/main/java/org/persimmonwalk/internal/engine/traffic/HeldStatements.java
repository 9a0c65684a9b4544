package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The statements of a group that this host holds, in the order in which servers get them: by
 * priority; then workspaces inside their share; then what can still meet its latency target; then
 * by deadline.
 */
final class HeldStatements {
  private static final Comparator<Ranked> ORDER =
      Comparator.<Ranked>comparingInt(ranked -> ranked.held().priority())
          .thenComparing(Ranked::insideShare, Comparator.reverseOrder())
          .thenComparing(Ranked::meetsTarget, Comparator.reverseOrder())
          .thenComparing(ranked -> ranked.held().deadline())
          .thenComparingLong(ranked -> ranked.held().sequence());

  private final List<HeldStatement> held = new ArrayList<>();
  private final WorkspaceShares shares = new WorkspaceShares();

  void add(HeldStatement statement) {
    held.add(statement);
  }

  /** Removes a statement; returns false if it is not held any more. */
  boolean remove(HeldStatement statement) {
    return held.remove(statement);
  }

  boolean isEmpty() {
    return held.isEmpty();
  }

  /** Returns one of the statements. */
  HeldStatement any() {
    return held.get(0);
  }

  WorkspaceShares shares() {
    return shares;
  }

  /** Returns the statements in their order, given how long each takes once it is sent. */
  List<HeldStatement> inOrder(MonotonicTime now, Duration expected) {
    return held.stream()
        .map(statement -> rank(statement, now, expected))
        .sorted(ORDER)
        .map(Ranked::held)
        .toList();
  }

  /** Returns how many of the statements come before the given one. */
  int ahead(HeldStatement statement, MonotonicTime now, Duration expected) {
    Ranked own = rank(statement, now, expected);
    int ahead = 0;
    for (HeldStatement other : held) {
      if (ORDER.compare(rank(other, now, expected), own) < 0) {
        ahead++;
      }
    }
    return ahead;
  }

  private Ranked rank(HeldStatement statement, MonotonicTime now, Duration expected) {
    return new Ranked(
        statement,
        shares.isInside(statement.workspace(), now),
        statement.meetsTarget(now, expected));
  }

  private record Ranked(HeldStatement held, boolean insideShare, boolean meetsTarget) {}
}
