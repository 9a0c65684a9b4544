package org.persimmonwalk.engine;

import java.util.List;
import java.util.Optional;

/**
 * The answer to one statement.
 *
 * @param proof what the server gave as evidence that it ran the statement; {@link #NO_PROOF} for
 *     answers of the entry host itself
 * @param failure why the statement failed; empty if it succeeded
 * @param position the position of the server's log after the statement, if it is known
 */
public record Answer(
    List<String> rows,
    String proof,
    Optional<Failure> failure,
    SessionState state,
    Optional<TermPosition> position) {

  /** The proof of statements that no server ran. */
  public static final String NO_PROOF = "-";

  /** Returns the success of a statement that the entry host answers itself. */
  public static Answer done(SessionState state) {
    return new Answer(List.of(), NO_PROOF, Optional.empty(), state, Optional.empty());
  }

  /** Returns a failure that the entry host reports itself. */
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

  /** Returns this answer with another state of the session. */
  public Answer withState(SessionState other) {
    return new Answer(rows, proof, failure, other, position);
  }
}
