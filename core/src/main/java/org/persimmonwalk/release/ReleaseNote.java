package org.persimmonwalk.release;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;

/**
 * A set of changes to the configuration, submitted by an operator and accepted or refused as a
 * whole.
 *
 * <p>Example:
 *
 * <pre>{@code
 * ReleaseNote.of(ReleaseNoteId.of("withdraw-key-7"), Revision.of(41))
 *     .withWithdrawn(List.of(ItemName.of(hash)));
 * }</pre>
 *
 * @param id chosen by the operator's client, unique to each release note; submitting the same note
 *     again does not apply it twice
 * @param base the revision that the changes were written against
 * @param added items that must not exist in the base revision
 * @param changed items that must exist in the base revision, with their new content
 * @param withdrawn items to remove
 * @param leaving servers that are to receive no new work
 */
public record ReleaseNote(
    ReleaseNoteId id,
    Revision base,
    List<ReleaseItem> added,
    List<ReleaseItem> changed,
    List<ItemName> withdrawn,
    List<BackendServerId> leaving) {

  /** Copies the lists. */
  public ReleaseNote {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(base, "base");
    added = List.copyOf(added);
    changed = List.copyOf(changed);
    withdrawn = List.copyOf(withdrawn);
    leaving = List.copyOf(leaving);
  }

  /** Returns a release note without items. */
  public static ReleaseNote of(ReleaseNoteId id, Revision base) {
    return new ReleaseNote(id, base, List.of(), List.of(), List.of(), List.of());
  }

  /** Returns the release note with the given added items. */
  public ReleaseNote withAdded(List<ReleaseItem> items) {
    return new ReleaseNote(id, base, items, changed, withdrawn, leaving);
  }

  /** Returns the release note with the given changed items. */
  public ReleaseNote withChanged(List<ReleaseItem> items) {
    return new ReleaseNote(id, base, added, items, withdrawn, leaving);
  }

  /** Returns the release note with the given withdrawn items. */
  public ReleaseNote withWithdrawn(List<ItemName> items) {
    return new ReleaseNote(id, base, added, changed, items, leaving);
  }

  /** Returns the release note with the given leaving servers. */
  public ReleaseNote withLeaving(List<BackendServerId> servers) {
    return new ReleaseNote(id, base, added, changed, withdrawn, servers);
  }

  /**
   * Returns the items that the release note adds, changes, withdraws or marks as leaving. An added
   * or changed group counts together with its servers.
   */
  public Set<ItemName> touched() {
    Set<ItemName> names = new TreeSet<>(withdrawn);
    leaving.forEach(server -> names.add(ItemName.of(server)));
    added.forEach(item -> addNames(names, item));
    changed.forEach(item -> addNames(names, item));
    return names;
  }

  private static void addNames(Set<ItemName> names, ReleaseItem item) {
    names.add(item.name());
    if (item instanceof ReleaseItem.GroupItem groupItem) {
      groupItem.group().servers().forEach(server -> names.add(ItemName.of(server.id())));
    }
  }
}
