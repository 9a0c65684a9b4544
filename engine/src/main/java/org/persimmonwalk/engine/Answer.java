package org.persimmonwalk.engine;

import java.util.List;
import java.util.Optional;

/**
 * The answer to one statement.
 *
 * @param proof the evidence that the server returned for having run the statement; {@link
 *     #NO_PROOF} for answers of the entry host itself
 * @param failure why the statement failed; empty if it succeeded
 * @param state the transaction state after the statement
 * @param position the position of the server's log after the statement; empty if unknown
 */
public record Answer(
    List<String> rows,
    String proof,
    Optional<Failure> failure,
    SessionState state,
    Optional<TermPosition> position) {

  /** The proof of statements that no server ran. */
  public static final String NO_PROOF = "-";

  /** Returns a successful answer that the entry host gives itself. */
  public static Answer done(SessionState state) {
    return new Answer(List.of(), NO_PROOF, Optional.empty(), state, Optional.empty());
  }

  /** Returns a failed answer that the entry host gives itself. */
  public static Answer failed(FailureCode code, String detail, SessionState state) {
    return new Answer(
        List.of(), NO_PROOF, Optional.of(Failure.of(code, detail)), state, Optional.empty());
  }

  /** Returns whether the statement succeeded. */
  public boolean succeeded() {
    return failure.isEmpty();
  }

  /** Returns whether the statement failed with the given code. */
  public boolean failedWith(FailureCode code) {
    return failure.isPresent() && failure.get().code() == code;
  }

  /** Returns this answer with another transaction state. */
  public Answer withState(SessionState other) {
    return new Answer(rows, proof, failure, other, position);
  }
}
