package org.persimmonwalk.internal.operator.note;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.release.ItemName;
import org.persimmonwalk.release.NoteFault;
import org.persimmonwalk.release.ReleaseItem;
import org.persimmonwalk.release.ReleaseNote;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/**
 * Parses a release note and validates its form. It checks neither that items exist nor that the
 * resulting configuration is valid; see {@link org.persimmonwalk.release.ReleaseNoteMerge} for
 * that.
 *
 * <p>Example:
 *
 * <pre>{@code
 * ReleaseNote note = ReleaseNoteReader.create().read(Path.of("note.yaml"));
 * }</pre>
 */
public final class ReleaseNoteReader {
  private static final int MAXIMUM_BYTES = 1024 * 1024;

  private ReleaseNoteReader() {}

  /** Returns the reader. */
  public static ReleaseNoteReader create() {
    return new ReleaseNoteReader();
  }

  /**
   * Reads a file of at most 1 MiB.
   *
   * @throws PersimmonwalkException with code {@link ResultCode#REQUEST_TOO_LARGE} if the file is
   *     larger, or {@link ResultCode#NOTE_MALFORMED} if it cannot be read or has faults; the
   *     message lists at most 100 faults with their paths
   */
  public ReleaseNote read(Path file) {
    byte[] content;
    try (InputStream input = Files.newInputStream(file)) {
      content = input.readNBytes(MAXIMUM_BYTES + 1);
    } catch (IOException e) {
      throw PersimmonwalkException.of(
          ResultCode.NOTE_MALFORMED, "cannot read " + file + "; check its path and permissions", e);
    }
    return parse(content);
  }

  /**
   * Parses the content of a release note.
   *
   * @throws PersimmonwalkException as {@link #read} does
   */
  public ReleaseNote parse(byte[] content) {
    if (content.length > MAXIMUM_BYTES) {
      throw PersimmonwalkException.of(
          ResultCode.REQUEST_TOO_LARGE,
          "the release note has more than " + MAXIMUM_BYTES + " bytes; split it into several");
    }
    FaultList faults = FaultList.create();
    NoteNode root = parseTree(content, faults);
    NoteSection section = NoteSection.of(Optional.of(root), "", faults);
    Optional<ReleaseNoteId> id = section.required("id", ReleaseNoteId::of);
    Optional<Revision> base =
        section.required("base", text -> Revision.of(NoteValues.revision(text)));
    List<ReleaseItem> added = NoteItems.items(section.section("added"));
    List<ReleaseItem> changed = NoteItems.items(section.section("changed"));
    List<ItemName> withdrawn = NoteItems.itemNames(section.section("withdrawn"));
    List<BackendServerId> leaving = section.list("leaving", BackendServerId::of);
    section.rejectUnknown();
    if (!faults.isEmpty()) {
      throw malformed(faults.all());
    }
    return new ReleaseNote(id.get(), base.get(), added, changed, withdrawn, leaving);
  }

  private static NoteNode parseTree(byte[] content, FaultList faults) {
    try {
      String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(content)).toString();
      return NoteParser.parse(text, faults);
    } catch (CharacterCodingException e) {
      faults.add("note", "is not UTF-8 text");
    } catch (NoteParser.UnreadableNoteException e) {
      throw malformed(faults.all());
    } catch (JsonProcessingException e) {
      faults.add(
          location(e),
          "is not valid YAML: " + e.getOriginalMessage().lines().findFirst().orElse(""));
    } catch (IOException | RuntimeException e) {
      faults.add("note", "is not valid YAML: " + e.getMessage());
    }
    throw malformed(faults.all());
  }

  private static String location(JsonProcessingException e) {
    return e.getLocation() == null
        ? "note"
        : "line " + e.getLocation().getLineNr() + " column " + e.getLocation().getColumnNr();
  }

  private static PersimmonwalkException malformed(List<NoteFault> faults) {
    return FaultMessages.exception(ResultCode.NOTE_MALFORMED, faults);
  }
}
