package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.persimmonwalk.model.MonotonicTime;

/** The times of the requests that were sent in the last window. */
final class SendWindow {
  private final Duration length;
  private final Deque<MonotonicTime> sends = new ArrayDeque<>();

  SendWindow(Duration length) {
    this.length = length;
  }

  /** Records a request and returns true, unless the window has as many as the limit. */
  boolean tryAdd(int limit, MonotonicTime now) {
    if (!hasRoom(limit, now)) {
      return false;
    }
    sends.addLast(now);
    return true;
  }

  /** Returns whether the window has fewer requests than the limit. */
  boolean hasRoom(int limit, MonotonicTime now) {
    while (!sends.isEmpty() && now.since(sends.getFirst()).compareTo(length) > 0) {
      sends.removeFirst();
    }
    return sends.size() < limit;
  }
}
