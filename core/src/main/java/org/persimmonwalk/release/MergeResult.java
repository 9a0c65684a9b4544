package org.persimmonwalk.release;

import java.util.List;
import java.util.Objects;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.result.ResultCode;

/** What {@link ReleaseNoteMerge} returns: the new configuration, or all reasons for a refusal. */
public sealed interface MergeResult {

  /** The release note is valid and results in the given configuration. */
  record Merged(Configuration configuration) implements MergeResult {
    /** Checks that the configuration is present. */
    public Merged {
      Objects.requireNonNull(configuration, "configuration");
    }
  }

  /**
   * The release note is refused as a whole.
   *
   * @param code {@link ResultCode#NOTE_CONFLICT} or {@link ResultCode#NOTE_INVALID}
   * @param faults all faults that were found
   */
  record Refused(ResultCode code, List<NoteFault> faults) implements MergeResult {
    /** Copies the list. */
    public Refused {
      Objects.requireNonNull(code, "code");
      faults = List.copyOf(faults);
    }
  }
}
