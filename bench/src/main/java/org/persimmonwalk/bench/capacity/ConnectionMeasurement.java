package org.persimmonwalk.bench.capacity;

import com.sun.management.UnixOperatingSystemMXBean;
import io.netty.buffer.PooledByteBufAllocator;
import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.bench.LocalDeployment;
import org.persimmonwalk.entryhost.TrafficListener;

/**
 * Measures the memory of idle caller connections at a real entry host. Both ends are in this
 * process, so the heap of a bare channel is measured first and subtracted for the caller's end.
 * Kernel buffers are not counted.
 */
final class ConnectionMeasurement {
  private static final List<Integer> CONNECTION_COUNTS =
      List.of(1_000, 2_000, 4_000, 8_000, 20_000);
  private static final int BARE_CHANNEL_PAIRS = 2_000;

  /** File descriptors left for all else than the measured connections, which need two each. */
  private static final int RESERVED_DESCRIPTORS = 1_000;

  /** The default of an entry host's setting for its maximum number of caller connections. */
  private static final int DEFAULT_MAXIMUM_CONNECTIONS = 10_000;

  private final CapacityReport report;

  private ConnectionMeasurement(CapacityReport report) {
    this.report = report;
  }

  static ConnectionMeasurement of(CapacityReport report) {
    return new ConnectionMeasurement(report);
  }

  void run() throws IOException {
    double channelHeapBytes = bareChannelBytes();
    int limit = connectionLimit();
    report.note("caller connections", "at most " + limit + " by file descriptors and settings");
    List<RawCaller> callers = new ArrayList<>();
    try (LocalDeployment deployment = LocalDeployment.start(1, new TrafficListener() {})) {
      connect(deployment, callers, 100);
      int base = callers.size();
      long heapBefore = Heap.usedBytes();
      long directBefore = directBytes();
      for (int size : CONNECTION_COUNTS) {
        int count = Math.min(size, limit);
        if (count > callers.size() - base) {
          connect(deployment, callers, base + count - callers.size());
          double heap = Heap.usedBytes() - heapBefore - channelHeapBytes * count;
          report.add("heap of idle connections, KB", "connections", "1 host", count, heap / 1e3);
          report.add(
              "direct buffers of idle connections, KB",
              "connections",
              "1 host",
              count,
              (directBytes() - directBefore) / 1e3);
          System.err.printf("measured: %d idle connections%n", count);
        }
      }
    } finally {
      for (RawCaller caller : callers) {
        caller.close();
      }
    }
  }

  private static int connectionLimit() {
    UnixOperatingSystemMXBean system =
        (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    long descriptors = system.getMaxFileDescriptorCount() - RESERVED_DESCRIPTORS;
    return (int) Math.min(descriptors / 2, DEFAULT_MAXIMUM_CONNECTIONS - RESERVED_DESCRIPTORS);
  }

  private static void connect(LocalDeployment deployment, List<RawCaller> callers, int count)
      throws IOException {
    for (int i = 0; i < count; i++) {
      callers.add(
          RawCaller.connect(
              deployment.host(0).callerPort(),
              LocalDeployment.WORKSPACE.value(),
              LocalDeployment.KEY,
              LocalDeployment.GROUP.value()));
    }
  }

  /** Returns the heap that one end of a connection needs for its channel alone. */
  private static double bareChannelBytes() throws IOException {
    List<SocketChannel> channels = new ArrayList<>();
    try (ServerSocketChannel server =
        ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0))) {
      long before = Heap.usedBytes();
      for (int i = 0; i < BARE_CHANNEL_PAIRS; i++) {
        channels.add(SocketChannel.open(server.getLocalAddress()));
        channels.add(server.accept());
      }
      return (double) (Heap.usedBytes() - before) / channels.size();
    } finally {
      for (SocketChannel channel : channels) {
        channel.close();
      }
    }
  }

  private static long directBytes() {
    long buffers =
        ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
            .mapToLong(BufferPoolMXBean::getMemoryUsed)
            .sum();
    return buffers + PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
  }
}
