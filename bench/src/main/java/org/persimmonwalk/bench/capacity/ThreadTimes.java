package org.persimmonwalk.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Processor time of the threads of an entry host that shares its process with callers and
 * stand-ins.
 *
 * <p>The host's event loops are those of the newest Netty group, since a deployment starts its
 * stand-ins before its hosts. Garbage collection and JIT compilation run on other threads and are
 * not counted.
 *
 * @param traffic nanoseconds of the host's event loops
 * @param control nanoseconds of the host's control thread
 */
record ThreadTimes(long traffic, long control) {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final Pattern EVENT_LOOP =
      Pattern.compile("multiThreadIoEventLoopGroup-(\\d+)-\\d+");
  private static final String CONTROL_PREFIX = "control-";

  /** Returns the times of the host that was started last. */
  static ThreadTimes ofNewestHost() {
    Map<Integer, Long> loops = new HashMap<>();
    long control = 0;
    for (long id : THREADS.getAllThreadIds()) {
      Optional<ThreadInfo> info = Optional.ofNullable(THREADS.getThreadInfo(id));
      String name = info.map(ThreadInfo::getThreadName).orElse("");
      long time = Math.max(0, THREADS.getThreadCpuTime(id));
      Matcher matcher = EVENT_LOOP.matcher(name);
      if (matcher.matches()) {
        loops.merge(Integer.parseInt(matcher.group(1)), time, Long::sum);
      } else if (name.startsWith(CONTROL_PREFIX)) {
        control += time;
      }
    }
    int newest = loops.keySet().stream().mapToInt(Integer::intValue).max().orElseThrow();
    return new ThreadTimes(loops.get(newest), control);
  }

  ThreadTimes minus(ThreadTimes earlier) {
    return new ThreadTimes(traffic - earlier.traffic, control - earlier.control);
  }
}
