package org.persimmonwalk.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.result.ResultCode;

/** Merges release notes into configurations, without input or output. */
public final class ReleaseNoteMerge {

  private ReleaseNoteMerge() {}

  /**
   * Merges a release note whose base, if it is older than the current revision, is not at hand.
   *
   * @param current the configuration in force
   * @param note the release note
   */
  public static MergeResult merge(Configuration current, ReleaseNote note) {
    return merge(current, note, Optional.empty());
  }

  /**
   * Merges a release note.
   *
   * @param current the configuration in force
   * @param note the release note
   * @param base the configuration that the release note is based on; needed only to name the items
   *     in conflict if it is not the current one
   */
  public static MergeResult merge(
      Configuration current, ReleaseNote note, Optional<Configuration> base) {
    Revision revision = current.revision();
    if (note.base().isNewerThan(revision)) {
      String message =
          "revision " + note.base() + " does not exist; the newest revision is " + revision;
      return refused(ResultCode.NOTE_INVALID, List.of(NoteFault.of("base", message)));
    }
    if (revision.isNewerThan(note.base())) {
      return refused(ResultCode.NOTE_CONFLICT, conflicts(current, note, base));
    }
    NoteApplication application = NoteApplication.of(current);
    application.apply(note);
    List<NoteFault> faults = application.faults();
    return faults.isEmpty()
        ? new MergeResult.Merged(application.result(note.id()))
        : refused(ResultCode.NOTE_INVALID, faults);
  }

  private static List<NoteFault> conflicts(
      Configuration current, ReleaseNote note, Optional<Configuration> base) {
    List<NoteFault> faults = new ArrayList<>();
    faults.add(
        NoteFault.of(
            "base",
            "revision "
                + note.base()
                + " is not the newest, "
                + current.revision()
                + " is; base the release note on it and submit it again with a new id"));
    Set<ItemName> touched = note.touched();
    if (base.isEmpty()) {
      touched.forEach(
          name ->
              faults.add(NoteFault.of(name.path(), "may have been changed by a newer revision")));
      return faults;
    }
    Set<ItemName> changed = ConfigurationDifference.between(base.get(), current);
    touched.stream()
        .filter(changed::contains)
        .forEach(
            name ->
                faults.add(
                    NoteFault.of(
                        name.path(), "was changed since revision " + note.base() + "; review it")));
    return faults;
  }

  private static MergeResult refused(ResultCode code, List<NoteFault> faults) {
    return new MergeResult.Refused(code, faults);
  }
}
