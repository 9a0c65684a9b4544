package org.persimmonwalk.internal.operator.note;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * A mapping in a release note, with typed access to its entries. Each access records faults instead
 * of throwing, so that one run reports all of them, and marks the name as known, so that {@link
 * #rejectUnknown} can report misspelt names.
 */
final class NoteSection {
  private final Map<String, NoteNode> entries;
  private final String path;
  private final FaultList faults;
  private final Set<String> knownNames = new HashSet<>();

  private NoteSection(Map<String, NoteNode> entries, String path, FaultList faults) {
    this.entries = entries;
    this.path = path;
    this.faults = faults;
  }

  /** Returns the node as a section; an empty one, and a fault, if it is not a mapping. */
  static NoteSection of(Optional<NoteNode> node, String path, FaultList faults) {
    if (node.isPresent() && node.get() instanceof NoteNode.Mapping mapping) {
      return new NoteSection(mapping.entries(), path, faults);
    }
    if (node.isPresent() && !isEmpty(node.get())) {
      faults.add(path.isEmpty() ? "note" : path, "is not a section; indent its entries below it");
    }
    return new NoteSection(Map.of(), path, faults);
  }

  NoteSection section(String name) {
    return of(lookUp(name), pathOf(name), faults);
  }

  /** Returns the names of all entries and marks them as known. */
  List<String> names() {
    knownNames.addAll(entries.keySet());
    return List.copyOf(entries.keySet());
  }

  /** Returns the converted value; empty, and a fault, if it is missing or invalid. */
  <T> Optional<T> required(String name, Function<String, T> conversion) {
    Optional<NoteNode> node = lookUp(name).filter(found -> !isEmpty(found));
    if (node.isEmpty()) {
      faults.add(pathOf(name), "is missing");
    }
    return node.flatMap(found -> scalar(found, pathOf(name), conversion));
  }

  /** Returns the converted value, or the default if missing; empty, and a fault, if invalid. */
  <T> Optional<T> optional(String name, T defaultValue, Function<String, T> conversion) {
    Optional<NoteNode> node = lookUp(name).filter(found -> !isEmpty(found));
    return node.isEmpty()
        ? Optional.of(defaultValue)
        : scalar(node.get(), pathOf(name), conversion);
  }

  /** Returns the converted items of a list; invalid ones are left out and recorded as faults. */
  <T> List<T> list(String name, Function<String, T> conversion) {
    Optional<NoteNode> node = lookUp(name).filter(found -> !isEmpty(found));
    List<T> values = new ArrayList<>();
    if (node.isEmpty()) {
      return values;
    }
    if (!(node.get() instanceof NoteNode.Sequence sequence)) {
      faults.add(pathOf(name), "is not a list; write [first, second]");
      return values;
    }
    for (int i = 0; i < sequence.items().size(); i++) {
      String entryPath = NoteParser.join(pathOf(name), Integer.toString(i));
      scalar(sequence.items().get(i), entryPath, conversion)
          .ifPresent(
              value -> {
                if (values.contains(value)) {
                  faults.add(entryPath, "is listed twice; keep one");
                }
                values.add(value);
              });
    }
    return values;
  }

  /** Returns the converted name of an entry; empty, and a fault, if it is invalid. */
  <T> Optional<T> convertName(String name, Function<String, T> conversion) {
    return convert(name, pathOf(name), conversion);
  }

  /**
   * Builds a value from entries that were converted without faults. If its constructor rejects the
   * combination, the message becomes a fault of this section.
   */
  <T> Optional<T> build(Supplier<T> construction) {
    try {
      return Optional.of(construction.get());
    } catch (IllegalArgumentException e) {
      faults.add(path, e.getMessage());
      return Optional.empty();
    }
  }

  /** Records a fault for each name that was never accessed. */
  void rejectUnknown() {
    for (String name : entries.keySet()) {
      if (!knownNames.contains(name)) {
        String known = String.join(", ", knownNames.stream().sorted().toList());
        faults.add(pathOf(name), "is not known; known here: " + known);
      }
    }
  }

  private Optional<NoteNode> lookUp(String name) {
    knownNames.add(name);
    return Optional.ofNullable(entries.get(name));
  }

  private String pathOf(String name) {
    return NoteParser.join(path, name);
  }

  private <T> Optional<T> scalar(NoteNode node, String entryPath, Function<String, T> conversion) {
    if (node instanceof NoteNode.Scalar scalar) {
      return convert(scalar.text(), entryPath, conversion);
    }
    faults.add(entryPath, "is not a single value; write one value, not a list or a section");
    return Optional.empty();
  }

  private <T> Optional<T> convert(String text, String entryPath, Function<String, T> conversion) {
    try {
      return Optional.of(conversion.apply(text));
    } catch (IllegalArgumentException e) {
      faults.add(entryPath, e.getMessage());
      return Optional.empty();
    }
  }

  private static boolean isEmpty(NoteNode node) {
    return node instanceof NoteNode.Scalar scalar && scalar.text().isEmpty();
  }
}
