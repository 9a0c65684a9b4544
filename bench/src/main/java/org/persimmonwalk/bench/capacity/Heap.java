package org.persimmonwalk.bench.capacity;

import java.lang.management.ManagementFactory;

/** Measures the heap in use after garbage collection. */
final class Heap {
  private static final int COLLECTIONS = 3;

  private Heap() {}

  static long usedBytes() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
