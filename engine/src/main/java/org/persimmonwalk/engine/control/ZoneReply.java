package org.persimmonwalk.engine.control;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.RoutingConfiguration;

/**
 * The relay's reply to a {@link ZoneRequest}. It holds ages instead of times, as the clocks of two
 * hosts can't be compared.
 *
 * @param isRelay false if the answering host is not the relay or is about to stop
 * @param era the era of the store in which the rows were read
 * @param verifiedAge the time since the call that verified the rows was sent
 * @param configurationAge the time since the call that verified the configuration too was sent
 * @param configurationRowVersion the version of the configuration row that was verified
 * @param storeReading the newest reading of the store's clock
 * @param rows the rows that are newer at the relay than at the requesting host
 * @param configuration the configuration, if it is newer at the relay
 * @param loans the tokens lent to a host of an older build, which asks for them here
 * @param fleetSize the number of running entry hosts of all zones; 0 while it is unknown
 * @param loads what the hosts of the zone together have seen of the servers lately
 * @param restartNotices the servers that may have restarted lately
 */
public record ZoneReply(
    boolean isRelay,
    StoreEra era,
    Optional<Duration> verifiedAge,
    Optional<Duration> configurationAge,
    StoreVersion configurationRowVersion,
    Optional<StoreReading> storeReading,
    Map<RowKey, StoredRow> rows,
    Optional<RoutingConfiguration> configuration,
    Optional<ServerList> servers,
    List<TokenLoan> loans,
    int fleetSize,
    ServerLoadReport loads,
    List<RestartNotice> restartNotices) {

  /** Makes the collections immutable. */
  public ZoneReply {
    rows = Map.copyOf(rows);
    loans = List.copyOf(loans);
    restartNotices = List.copyOf(restartNotices);
  }

  /** Returns the reply without what was read from the store, which is of an earlier era. */
  public ZoneReply withoutRows() {
    return new ZoneReply(
        isRelay,
        era,
        Optional.empty(),
        Optional.empty(),
        StoreVersion.absent(era),
        Optional.empty(),
        Map.of(),
        Optional.empty(),
        Optional.empty(),
        loans,
        fleetSize,
        loads,
        restartNotices);
  }

  /** Returns the reply of a host that isn't the relay. */
  public static ZoneReply notRelay() {
    return new ZoneReply(
        false,
        StoreEra.UNKNOWN,
        Optional.empty(),
        Optional.empty(),
        StoreVersion.absent(StoreEra.UNKNOWN),
        Optional.empty(),
        Map.of(),
        Optional.empty(),
        Optional.empty(),
        List.of(),
        0,
        ServerLoadReport.NONE,
        List.of());
  }
}
