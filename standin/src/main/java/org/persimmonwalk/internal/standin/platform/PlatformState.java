package org.persimmonwalk.internal.standin.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.MonotonicClock;

/** The tables, objects and host list of the platform. Used on the state thread. */
public final class PlatformState {

  /** A host list and the time since when it is, or was, current. */
  private record DatedHosts(List<HostEntry> hosts, MonotonicTime since) {}

  private final MonotonicClock clock;
  private final Map<String, PlatformAnswer.Row> rows = new HashMap<>();
  private final Map<String, byte[]> objects = new HashMap<>();
  private final Map<EntryHostId, HostEntry> hosts = new TreeMap<>();
  private final Deque<DatedHosts> hostListHistory = new ArrayDeque<>();
  private Duration hostListLag = Duration.ZERO;

  private PlatformState(MonotonicClock clock) {
    this.clock = clock;
    hostListHistory.add(new DatedHosts(List.of(), clock.now()));
  }

  /** Returns a state without rows, objects and hosts. */
  public static PlatformState create(MonotonicClock clock) {
    return new PlatformState(clock);
  }

  /** Sets by how much the host list that callers read lags behind the changes. */
  public void setHostListLag(Duration lag) {
    hostListLag = lag;
  }

  /** Carries out a request and returns its answer. */
  public PlatformAnswer apply(PlatformRequest request) {
    if (request instanceof PlatformRequest.ReadRow read) {
      return orAbsent(rows.get(rowName(read.table(), read.row())));
    } else if (request instanceof PlatformRequest.WriteRow write) {
      return writeRow(write);
    } else if (request instanceof PlatformRequest.ReadObject read) {
      byte[] content = objects.get(read.name());
      return orAbsent(content == null ? null : new PlatformAnswer.StoredObject(content));
    } else if (request instanceof PlatformRequest.WriteObject write) {
      objects.put(write.name(), write.content());
    } else if (request instanceof PlatformRequest.PutHost put) {
      hosts.put(put.host().id(), put.host());
      recordHosts();
    } else if (request instanceof PlatformRequest.RemoveHost remove) {
      hosts.remove(remove.host());
      recordHosts();
    } else {
      return new PlatformAnswer.Hosts(visibleHosts());
    }
    return new PlatformAnswer.Done();
  }

  private PlatformAnswer writeRow(PlatformRequest.WriteRow write) {
    String name = rowName(write.table(), write.row());
    PlatformAnswer.Row current = rows.get(name);
    long version = current == null ? 0 : current.version();
    if (version != write.expectedVersion()) {
      return new PlatformAnswer.Conflict(version);
    }
    rows.put(name, new PlatformAnswer.Row(version + 1, write.content()));
    return new PlatformAnswer.Written(version + 1);
  }

  private void recordHosts() {
    hostListHistory.add(new DatedHosts(List.copyOf(hosts.values()), clock.now()));
  }

  /** Returns the list that was current {@code hostListLag} ago, and discards the older ones. */
  private List<HostEntry> visibleHosts() {
    MonotonicTime visibleTime = clock.now().minus(hostListLag);
    DatedHosts visible = hostListHistory.remove();
    while (!hostListHistory.isEmpty() && !hostListHistory.peek().since().isAfter(visibleTime)) {
      visible = hostListHistory.remove();
    }
    hostListHistory.addFirst(visible);
    return visible.hosts();
  }

  private static PlatformAnswer orAbsent(PlatformAnswer answer) {
    return answer == null ? new PlatformAnswer.Absent() : answer;
  }

  private static String rowName(String table, String row) {
    return table + "/" + row;
  }
}
