package org.persimmonwalk.internal.operator.command;

import java.util.Optional;
import org.persimmonwalk.internal.operator.note.FaultMessages;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.release.MergeResult;
import org.persimmonwalk.release.ReleaseNote;
import org.persimmonwalk.release.ReleaseNoteMerge;

/**
 * What a release note would lead to.
 *
 * @param current the configuration in force
 * @param next the configuration that the release note leads to
 */
record NoteReview(Configuration current, Configuration next) {

  /**
   * Merges a release note into the configuration in force without publishing it.
   *
   * @throws org.persimmonwalk.result.PersimmonwalkException with every fault if it would be refused
   */
  static NoteReview of(OperatorSession session, ReleaseNote note) {
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
    return new NoteReview(current, ((MergeResult.Merged) result).configuration());
  }

  void printChanges(OperatorSession session) {
    session.output().table(ConfigurationChanges.between(current, next));
  }
}
