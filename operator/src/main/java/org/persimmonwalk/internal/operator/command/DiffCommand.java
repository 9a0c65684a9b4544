package org.persimmonwalk.internal.operator.command;

import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.persimmonwalk.internal.operator.note.ReleaseNoteReader;

/** Prints the fields of the configuration in force that a release note would change. */
final class DiffCommand implements Subcommand {
  @Argument(metaVar = "NOTE.yaml", required = true, usage = "the release note")
  private Path file;

  @Override
  public void run(OperatorSession session) {
    NotePreview.of(session, ReleaseNoteReader.create().read(file)).printChanges(session);
  }
}
