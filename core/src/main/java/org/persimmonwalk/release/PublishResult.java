package org.persimmonwalk.release;

import java.util.List;
import java.util.Objects;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.result.ResultCode;

/** The outcome of publishing a release note with {@link ReleaseNotePublisher}. */
public sealed interface PublishResult {

  /** The release note was accepted and produced the given revision. */
  record Accepted(Revision revision) implements PublishResult {
    /** Checks that the revision is present. */
    public Accepted {
      Objects.requireNonNull(revision, "revision");
    }
  }

  /** The release note was refused as a whole; the configuration is unchanged. */
  record Refused(ResultCode code, List<NoteFault> faults) implements PublishResult {
    /** Copies the list. */
    public Refused {
      Objects.requireNonNull(code, "code");
      faults = List.copyOf(faults);
    }
  }

  /**
   * The release note could not be published because the platform failed or did not answer, or
   * because other publications changed the configuration row at each attempt.
   *
   * @param code {@link ResultCode#NOTE_OUTCOME_UNKNOWN} if the release note may have been accepted,
   *     {@link ResultCode#PLATFORM_UNAVAILABLE} or the code of another failure of the platform if
   *     it changed nothing; submitting the same release note again is safe in all cases
   * @param message what happened, for the operator
   */
  record Failed(ResultCode code, String message) implements PublishResult {
    /** Checks that both parts are present. */
    public Failed {
      Objects.requireNonNull(code, "code");
      Objects.requireNonNull(message, "message");
    }
  }
}
