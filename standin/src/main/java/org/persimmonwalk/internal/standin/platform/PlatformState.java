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

/** The tables, objects and hosts of the platform; one thread uses them. */
public final class PlatformState {

  /** A host list and the time from which it was true. */
  private record DatedHosts(List<HostEntry> hosts, MonotonicTime since) {}

  private final MonotonicClock clock;
  private final Map<String, PlatformAnswer.Row> rows = new HashMap<>();
  private final Map<String, byte[]> objects = new HashMap<>();
  private final Map<EntryHostId, HostEntry> hosts = new TreeMap<>();
  private final Deque<DatedHosts> history = new ArrayDeque<>();
  private Duration hostLag = Duration.ZERO;

  private PlatformState(MonotonicClock clock) {
    this.clock = clock;
    history.add(new DatedHosts(List.of(), clock.now()));
  }

  /** Returns a state without rows, objects and hosts. */
  public static PlatformState create(MonotonicClock clock) {
    return new PlatformState(clock);
  }

  /** Sets by how much the list of hosts is behind. */
  public void setHostLag(Duration lag) {
    hostLag = lag;
  }

  /** Carries out a request. */
  public PlatformAnswer apply(PlatformRequest request) {
    if (request instanceof PlatformRequest.ReadRow read) {
      return present(rows.get(rowName(read.table(), read.row())));
    } else if (request instanceof PlatformRequest.WriteRow write) {
      return writeRow(write);
    } else if (request instanceof PlatformRequest.ReadObject read) {
      byte[] content = objects.get(read.name());
      return present(content == null ? null : new PlatformAnswer.StoredObject(content));
    } else if (request instanceof PlatformRequest.WriteObject write) {
      objects.put(write.name(), write.content());
    } else if (request instanceof PlatformRequest.PutHost put) {
      hosts.put(put.host().id(), put.host());
      noteHosts();
    } else if (request instanceof PlatformRequest.RemoveHost remove) {
      hosts.remove(remove.host());
      noteHosts();
    } else {
      return new PlatformAnswer.Hosts(shownHosts());
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

  private void noteHosts() {
    history.add(new DatedHosts(List.copyOf(hosts.values()), clock.now()));
  }

  /** Returns the newest list that is older than the lag, and forgets the ones before it. */
  private List<HostEntry> shownHosts() {
    MonotonicTime shownTime = clock.now().minus(hostLag);
    DatedHosts shown = history.remove();
    while (!history.isEmpty() && !history.peek().since().isAfter(shownTime)) {
      shown = history.remove();
    }
    history.addFirst(shown);
    return shown.hosts();
  }

  private static PlatformAnswer present(PlatformAnswer answer) {
    return answer == null ? new PlatformAnswer.Absent() : answer;
  }

  private static String rowName(String table, String row) {
    return table + "/" + row;
  }
}
