package org.persimmonwalk.internal.engine.traffic;

import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The servers that ran one read without success. Whether the server or the statement is at fault
 * shows only when a repetition has succeeded: a caller's faulty statement fails each time and must
 * not eject servers.
 */
final class FailedReads {
  private List<FailedRead> reads = List.of();

  void add(ServerPool pool, MonotonicTime sentAt) {
    if (reads.isEmpty()) {
      reads = new ArrayList<>(1);
    }
    reads.add(new FailedRead(pool, sentAt));
  }

  /** A repetition of the read has succeeded: the servers that failed it are at fault. */
  void repetitionSucceeded() {
    for (FailedRead read : reads) {
      read.pool().recordFailure(read.sentAt());
    }
    reads = List.of();
  }

  private record FailedRead(ServerPool pool, MonotonicTime sentAt) {}
}
