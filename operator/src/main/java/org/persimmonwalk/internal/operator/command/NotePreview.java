package org.persimmonwalk.internal.operator.command;

import java.util.Optional;
import org.persimmonwalk.internal.operator.note.FaultMessages;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.release.MergeResult;
import org.persimmonwalk.release.ReleaseNote;
import org.persimmonwalk.release.ReleaseNoteMerge;

/**
 * The result of merging a release note without publishing it.
 *
 * @param current the configuration in force
 * @param next the configuration that publishing the release note would put in force
 */
record NotePreview(Configuration current, Configuration next) {

  /**
   * Merges a release note into the configuration in force.
   *
   * @throws org.persimmonwalk.result.PersimmonwalkException with the list of faults if the release
   *     note conflicts with a newer one or leads to an invalid configuration
   */
  static NotePreview of(OperatorSession session, ReleaseNote note) {
    ConfigurationReader configurations = session.configurations();
    Configuration current = configurations.current();
    Optional<Configuration> base =
        current.revision().isNewerThan(note.base())
            ? configurations.find(note.base())
            : Optional.empty();
    MergeResult result = ReleaseNoteMerge.merge(current, note, base);
    if (result instanceof MergeResult.Refused refused) {
      throw FaultMessages.exception(refused.code(), refused.faults());
    }
    return new NotePreview(current, ((MergeResult.Merged) result).configuration());
  }

  /** Prints a row for each field that the release note would change. */
  void printChanges(OperatorSession session) {
    session.output().table(ConfigurationChanges.between(current, next));
  }
}
