package org.persimmonwalk.internal.operator.command;

import java.util.function.Function;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.release.ReleaseNote;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/**
 * Publishes a release note that a subcommand derives from the current configuration. If another
 * release note is accepted first, the note conflicts and is derived again from the newer
 * configuration, up to 3 attempts in all. Repeating is safe, since a conflict proves that the note
 * changed nothing.
 */
final class RebasingPublisher {
  private static final int ATTEMPT_LIMIT = 3;

  private RebasingPublisher() {}

  /** Publishes the derived release note and returns the revision that it led to. */
  static Revision publish(
      OperatorSession session, Function<Configuration, ReleaseNote> derivation) {
    for (int attempt = 1; ; attempt++) {
      try {
        return session.publish(derivation.apply(session.configurations().current()));
      } catch (PersimmonwalkException e) {
        if (e.code() != ResultCode.NOTE_CONFLICT || attempt == ATTEMPT_LIMIT) {
          throw e;
        }
      }
    }
  }
}
