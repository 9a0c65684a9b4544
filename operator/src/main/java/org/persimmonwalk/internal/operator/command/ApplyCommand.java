package org.persimmonwalk.internal.operator.command;

import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.operator.note.ReleaseNoteReader;
import org.persimmonwalk.release.ReleaseNote;

/** Submits a release note or, with {@code --dry-run}, prints what it would change. */
final class ApplyCommand implements Subcommand {
  @Argument(metaVar = "NOTE.yaml", required = true, usage = "the release note")
  private Path file;

  @Option(name = "--dry-run", usage = "print what would change and submit nothing")
  private boolean dryRun;

  @Override
  public void run(OperatorSession session) {
    ReleaseNote note = ReleaseNoteReader.create().read(file);
    if (dryRun) {
      NotePreview.of(session, note).printChanges(session);
      return;
    }
    Revision revision = session.publish(note);
    session.output().result(Results.of("note", note.id().value(), "revision", revision.number()));
    session.awaitRevision(revision);
  }
}
