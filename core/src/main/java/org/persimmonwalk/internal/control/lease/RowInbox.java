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

/** This round's observations by the row that they are about. */
public final class RowInbox {
  private final Map<TableRow, List<Observation>> byRow = new HashMap<>();

  private RowInbox() {}

  /** Returns the observations on the blackboard. */
  public static RowInbox of(Blackboard blackboard) {
    RowInbox inbox = new RowInbox();
    blackboard.observations(TableRowRead.class).forEach(seen -> inbox.add(seen.row(), seen));
    blackboard.observations(TableRowReadFailed.class).forEach(seen -> inbox.add(seen.row(), seen));
    blackboard.observations(TableRowWritten.class).forEach(seen -> inbox.add(seen.row(), seen));
    blackboard.observations(PeerMessageReceived.class).forEach(inbox::addMessage);
    return inbox;
  }

  /** Returns the observations about a row. */
  public List<Observation> of(TableRow row) {
    return byRow.getOrDefault(row, List.of());
  }

  /** Returns the rows with observations. */
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
