package org.persimmonwalk.engine.control;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.RoutingConfiguration;

/**
 * What the relay of a zone answers. Times are ages, as the clocks of two hosts cannot be compared.
 *
 * @param serves false if the answering host is not the relay or is about to stop
 * @param verifiedAge the time since the call that verified the rows was sent
 * @param configurationRow the version of the configuration row that the verification covers
 * @param rows the rows that are newer than those known to the asking host
 * @param configuration the configuration, if it is newer
 * @param activeHosts the entry hosts of all zones that take tokens
 */
public record ZoneReply(
    boolean serves,
    Optional<Duration> verifiedAge,
    long configurationRow,
    Optional<StoreReading> reading,
    Map<RowKey, StoredRow> rows,
    Optional<RoutingConfiguration> configuration,
    Optional<ServerList> servers,
    List<TokenLoan> loans,
    int activeHosts) {

  /** Makes the collections immutable. */
  public ZoneReply {
    rows = Map.copyOf(rows);
    loans = List.copyOf(loans);
  }

  /** Returns the answer of a host that is not the relay. */
  public static ZoneReply notServing() {
    return new ZoneReply(
        false,
        Optional.empty(),
        0,
        Optional.empty(),
        Map.of(),
        Optional.empty(),
        Optional.empty(),
        List.of(),
        1);
  }
}
