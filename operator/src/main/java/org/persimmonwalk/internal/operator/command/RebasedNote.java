package org.persimmonwalk.internal.operator.command;

import java.util.function.Function;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.release.ReleaseNote;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/**
 * Publishes a release note that a command makes itself. If another one is accepted first, it is
 * made again from the newer configuration; a conflict is proof that it changed nothing.
 */
final class RebasedNote {
  private static final int ATTEMPT_LIMIT = 3;

  private RebasedNote() {}

  static Revision publish(OperatorSession session, Function<Configuration, ReleaseNote> note) {
    for (int attempt = 1; ; attempt++) {
      try {
        return session.publish(note.apply(session.configurations().current()));
      } catch (PersimmonwalkException e) {
        if (e.code() != ResultCode.NOTE_CONFLICT || attempt == ATTEMPT_LIMIT) {
          throw e;
        }
      }
    }
  }
}
