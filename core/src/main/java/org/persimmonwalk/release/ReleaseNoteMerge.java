package org.persimmonwalk.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.result.ResultCode;

/**
 * Merges a release note into a configuration, or refuses it as invalid or in conflict. Performs no
 * input or output; {@link ReleaseNotePublisher} reads and writes the configuration.
 */
public final class ReleaseNoteMerge {

  private ReleaseNoteMerge() {}

  /**
   * Merges a release note without its base configuration. If the note is based on an older
   * revision, the refusal lists every item that the note affects.
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
   * @param base the configuration that the release note is based on; used only if that is not the
   *     current one, to report which items are in conflict
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
    ReleaseNoteApplier applier = ReleaseNoteApplier.of(current);
    applier.apply(note);
    List<NoteFault> faults = applier.faults();
    return faults.isEmpty()
        ? new MergeResult.Merged(applier.result(note.id()))
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
                + " is outdated; base the release note on the newest revision, "
                + current.revision()
                + ", and submit it again with a new id"));
    Set<ItemName> affected = note.touched();
    if (base.isEmpty()) {
      affected.forEach(
          name ->
              faults.add(
                  NoteFault.of(
                      name.path(), "may have been changed by a newer revision; review it")));
      return faults;
    }
    Set<ItemName> changed = ConfigurationDifference.between(base.get(), current);
    affected.stream()
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
