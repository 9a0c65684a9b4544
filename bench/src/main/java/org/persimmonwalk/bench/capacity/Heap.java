package org.persimmonwalk.bench.capacity;

import java.lang.management.ManagementFactory;

/** Reads the heap that is in use after a collection. */
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
