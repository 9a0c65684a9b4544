package org.persimmonwalk.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.TransferId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.ConfigurationReply;
import org.persimmonwalk.model.ConfigurationRequest;
import org.persimmonwalk.model.GrantRow;
import org.persimmonwalk.model.Heartbeat;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.PeerMessage;
import org.persimmonwalk.model.RelayedHostState;
import org.persimmonwalk.model.ShareRequest;
import org.persimmonwalk.model.ShareTransfer;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.testing.Configurations;

/** Sample messages for tests. */
public final class PeerMessages {

  private static final TableRow ROW = TableRow.of(GrantRow.WORKSPACE_TABLE, "oil");

  private PeerMessages() {}

  /** Returns one message of each kind. */
  public static List<PeerMessage> all() {
    return List.of(
        smallHeartbeat(0),
        fullHeartbeat(),
        request(5),
        new ConfigurationReply(
            Configurations.of(3, 4, 9), Optional.of(Duration.ofMillis(1500)), time(-7)),
        new ConfigurationReply(Configurations.of(3, 1, 1), Optional.empty(), time(1)),
        new ShareRequest(TransferId.of("transfer"), ROW, 17, 12.5, 0.25),
        new ShareTransfer(TransferId.of("transfer"), ROW, 3, 0.25, Duration.ofMillis(3_599_999)));
  }

  /** Returns a configuration request that is identified by its number. */
  public static ConfigurationRequest request(long number) {
    return new ConfigurationRequest(Revision.of(number), time(12));
  }

  /** Returns a heartbeat with empty lists that is identified by its number. */
  public static Heartbeat smallHeartbeat(long number) {
    return new Heartbeat(
        host(0, false),
        Revision.of(number),
        Optional.empty(),
        time(0),
        Optional.empty(),
        List.of(),
        Map.of());
  }

  /** Returns a heartbeat of the largest size: lists up to their limits, and long names. */
  public static Heartbeat fullHeartbeat() {
    List<RelayedHostState> relayedHosts =
        IntStream.range(0, Heartbeat.RELAYED_HOST_LIMIT)
            .mapToObj(
                index -> RelayedHostState.of(host(index, true), Duration.ofMillis(index * 999)))
            .toList();
    Map<WorkspaceId, Double> demand = new HashMap<>();
    for (int index = 0; index < Heartbeat.DEMAND_LIMIT; index++) {
      demand.put(WorkspaceId.of("workspace-of-some-length-" + index), 1000.0 * index);
    }
    return new Heartbeat(
        host(7, true),
        Revision.of(83_950),
        Optional.of(Duration.ZERO),
        time(Long.MAX_VALUE),
        Optional.of(time(Long.MIN_VALUE)),
        relayedHosts,
        demand);
  }

  private static HostEntry host(int index, boolean leaving) {
    return new HostEntry(
        EntryHostId.of(String.format("entry-%04d-5f3a9c21", index)),
        AvailabilityZone.of("region-1-zone-" + index),
        SocketEndpoint.of("10.20.30." + index, 7432),
        leaving);
  }

  private static MonotonicTime time(long nanoseconds) {
    return MonotonicTime.of(nanoseconds);
  }
}
