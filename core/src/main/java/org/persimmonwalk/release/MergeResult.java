package org.persimmonwalk.release;

import java.util.List;
import java.util.Objects;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.result.ResultCode;

/** The result of merging a release note into a configuration. */
public sealed interface MergeResult {

  /** The release note is valid and leads to the given configuration. */
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
   * @param faults every fault found
   */
  record Refused(ResultCode code, List<NoteFault> faults) implements MergeResult {
    /** Copies the list. */
    public Refused {
      Objects.requireNonNull(code, "code");
      faults = List.copyOf(faults);
    }
  }
}
