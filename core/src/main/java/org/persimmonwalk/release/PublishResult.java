package org.persimmonwalk.release;

import java.util.List;
import java.util.Objects;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.result.ResultCode;

/** What became of a release note. */
public sealed interface PublishResult {

  /** The release note is accepted as the given revision. */
  record Accepted(Revision revision) implements PublishResult {
    /** Checks that the revision is present. */
    public Accepted {
      Objects.requireNonNull(revision, "revision");
    }
  }

  /** The release note is refused as a whole and changed nothing. */
  record Refused(ResultCode code, List<NoteFault> faults) implements PublishResult {
    /** Copies the list. */
    public Refused {
      Objects.requireNonNull(code, "code");
      faults = List.copyOf(faults);
    }
  }

  /**
   * The platform did not answer.
   *
   * @param code {@link ResultCode#PLATFORM_UNAVAILABLE} if the release note changed nothing, {@link
   *     ResultCode#NOTE_OUTCOME_UNKNOWN} if it may have been accepted; submitting the same release
   *     note again is safe in both cases
   * @param message what happened
   */
  record Failed(ResultCode code, String message) implements PublishResult {
    /** Checks that both parts are present. */
    public Failed {
      Objects.requireNonNull(code, "code");
      Objects.requireNonNull(message, "message");
    }
  }
}
