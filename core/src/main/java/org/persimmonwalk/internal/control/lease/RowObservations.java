package org.persimmonwalk.internal.control.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.ShareRequest;
import org.persimmonwalk.model.ShareTransfer;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.observation.PeerMessageReceived;
import org.persimmonwalk.observation.TableRowRead;
import org.persimmonwalk.observation.TableRowReadFailed;
import org.persimmonwalk.observation.TableRowWritten;

/** The observations of the current round on table rows and unit transfers, grouped by row. */
public final class RowObservations {
  private final Map<TableRow, List<Observation>> byRow = new HashMap<>();

  private RowObservations() {}

  /** Groups the blackboard's observations by row. */
  public static RowObservations of(Blackboard blackboard) {
    RowObservations grouped = new RowObservations();
    blackboard.observations(TableRowRead.class).forEach(read -> grouped.add(read.row(), read));
    blackboard
        .observations(TableRowReadFailed.class)
        .forEach(failed -> grouped.add(failed.row(), failed));
    blackboard
        .observations(TableRowWritten.class)
        .forEach(written -> grouped.add(written.row(), written));
    blackboard.observations(PeerMessageReceived.class).forEach(grouped::addMessage);
    return grouped;
  }

  /** Returns the observations about a row. */
  public List<Observation> forRow(TableRow row) {
    return byRow.getOrDefault(row, List.of());
  }

  /** Returns the rows that have observations in this round. */
  public Set<TableRow> rows() {
    return byRow.keySet();
  }

  private void addMessage(PeerMessageReceived received) {
    if (received.message() instanceof ShareRequest request) {
      add(request.row(), received);
    } else if (received.message() instanceof ShareTransfer transfer) {
      add(transfer.row(), received);
    }
  }

  private void add(TableRow row, Observation observation) {
    byRow.computeIfAbsent(row, absent -> new ArrayList<>()).add(observation);
  }
}
