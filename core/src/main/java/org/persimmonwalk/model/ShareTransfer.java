package org.persimmonwalk.model;

import java.time.Duration;
import java.util.Objects;
import org.persimmonwalk.id.TransferId;

/**
 * Answers a {@link ShareRequest} with units of the row that the sender has stopped using.
 *
 * <p>The receiver counts the remaining time from before it sent the request. That is earlier than
 * the instant at which the sender read its clock, so a delayed message never extends a lease.
 *
 * @param id the transfer, which the receiver applies once
 * @param row the row of the workspace or the backend server
 * @param amount the number of units of the row's total; 0 if the sender has none to spare
 * @param tokens the number of tokens taken out of the sender's token bucket
 * @param remaining for how long the units may be used
 */
public record ShareTransfer(
    TransferId id, TableRow row, long amount, double tokens, Duration remaining)
    implements PeerMessage {

  /** Checks that all parts are present. */
  public ShareTransfer {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(row, "row");
    Objects.requireNonNull(remaining, "remaining");
    if (amount < 0 || !(tokens >= 0)) {
      throw new IllegalArgumentException(
          "transfer "
              + id
              + " needs an amount and tokens of at least 0, not "
              + amount
              + " and "
              + tokens);
    }
  }

  /** Returns an answer without units or tokens. */
  public static ShareTransfer empty(TransferId id, TableRow row) {
    return new ShareTransfer(id, row, 0, 0, Duration.ZERO);
  }
}
