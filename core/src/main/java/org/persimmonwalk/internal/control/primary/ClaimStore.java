package org.persimmonwalk.internal.control.primary;

import java.util.Optional;
import java.util.stream.Stream;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.command.CompareAndSetTableRow;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.PromotionClaim;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.model.WriteOutcome;
import org.persimmonwalk.observation.TableRowRead;
import org.persimmonwalk.observation.TableRowReadFailed;
import org.persimmonwalk.observation.TableRowWritten;

/**
 * Submits reads and writes of a group's claim row in the table service, and finds their results
 * among the observations of a later round.
 */
final class ClaimStore {
  private final EntryHostId host;
  private final TableRow row;
  private final Blackboard blackboard;

  /**
   * The result of a read.
   *
   * @param answered whether the table service answered
   * @param version the expected version for the next write
   * @param claim the claim in the row, if it is another host's
   */
  record Read(boolean answered, RowVersion version, Optional<PromotionClaim> claim) {

    /** Returns the term of another host's claim if it is above the group's term. */
    Optional<Term> competingTerm(Term groupTerm) {
      return claim.map(PromotionClaim::term).filter(term -> term.isAfter(groupTerm));
    }
  }

  /**
   * The result of a write.
   *
   * @param conflict whether the row had another version than expected
   * @param version the new version, empty unless the row is known to be written
   */
  record Written(boolean conflict, Optional<RowVersion> version) {}

  private ClaimStore(EntryHostId host, TableRow row, Blackboard blackboard) {
    this.host = host;
    this.row = row;
    this.blackboard = blackboard;
  }

  static ClaimStore of(EntryHostId host, DatabaseGroupId group, Blackboard blackboard) {
    return new ClaimStore(host, PromotionClaim.rowOf(group), blackboard);
  }

  void read() {
    blackboard.submit(new ReadTableRow(row));
  }

  /** Returns the result of a read that started no earlier than the given time. */
  Optional<Read> readResult(MonotonicTime since) {
    Stream<Read> answered =
        blackboard
            .observations(TableRowRead.class)
            .filter(result -> result.row().equals(row) && !result.startedAt().isBefore(since))
            .map(result -> new Read(true, result.version(), claimOfOther(result)));
    Stream<Read> failed =
        blackboard
            .observations(TableRowReadFailed.class)
            .filter(result -> result.row().equals(row) && !result.startedAt().isBefore(since))
            .map(result -> new Read(false, RowVersion.ABSENT, Optional.empty()));
    return Stream.concat(answered, failed).findFirst();
  }

  private Optional<PromotionClaim> claimOfOther(TableRowRead result) {
    return result
        .value()
        .filter(PromotionClaim.class::isInstance)
        .map(PromotionClaim.class::cast)
        .filter(claim -> !claim.host().equals(host));
  }

  void write(RowVersion expected, Term term) {
    blackboard.submit(new CompareAndSetTableRow(row, expected, PromotionClaim.of(host, term)));
  }

  /** Returns the result of a write that started no earlier than the given time. */
  Optional<Written> writeResult(MonotonicTime since) {
    return blackboard
        .observations(TableRowWritten.class)
        .filter(result -> result.row().equals(row) && !result.startedAt().isBefore(since))
        .map(
            result ->
                new Written(
                    result.outcome() == WriteOutcome.CONFLICT,
                    Optional.of(result.version())
                        .filter(version -> result.outcome() == WriteOutcome.WRITTEN)))
        .findFirst();
  }

  /**
   * Writes the new primary to the claim row, for information only: the result of the write is not
   * checked.
   */
  void writePromoted(RowVersion claim, Term term, BackendServerId promoted) {
    blackboard.submit(
        new CompareAndSetTableRow(
            row, claim, PromotionClaim.of(host, term).withPromoted(term, promoted)));
  }
}
