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
 * Named parts of a release note. It records every fault, and remembers which names were read so
 * that unknown names are found.
 */
final class NoteSection {
  private final Map<String, NoteNode> parts;
  private final String path;
  private final FaultList faults;
  private final Set<String> read = new HashSet<>();

  private NoteSection(Map<String, NoteNode> parts, String path, FaultList faults) {
    this.parts = parts;
    this.path = path;
    this.faults = faults;
  }

  /** Returns the section that the node holds; one without parts if it holds something else. */
  static NoteSection of(Optional<NoteNode> node, String path, FaultList faults) {
    if (node.isPresent() && node.get() instanceof NoteNode.Mapping mapping) {
      return new NoteSection(mapping.parts(), path, faults);
    }
    if (node.isPresent() && !isEmpty(node.get())) {
      faults.add(path.isEmpty() ? "note" : path, "is not a section; indent its parts below it");
    }
    return new NoteSection(Map.of(), path, faults);
  }

  NoteSection section(String name) {
    return of(take(name), pathOf(name), faults);
  }

  /** Returns the names of all parts; each is taken as known. */
  List<String> names() {
    read.addAll(parts.keySet());
    return List.copyOf(parts.keySet());
  }

  /** Returns the converted value, empty after a fault. */
  <T> Optional<T> required(String name, Function<String, T> conversion) {
    Optional<NoteNode> node = take(name).filter(found -> !isEmpty(found));
    if (node.isEmpty()) {
      faults.add(pathOf(name), "is missing");
    }
    return node.flatMap(found -> scalar(found, pathOf(name), conversion));
  }

  /** Returns the converted value, the default if it is missing, empty after a fault. */
  <T> Optional<T> optional(String name, T defaultValue, Function<String, T> conversion) {
    Optional<NoteNode> node = take(name).filter(found -> !isEmpty(found));
    return node.isEmpty()
        ? Optional.of(defaultValue)
        : scalar(node.get(), pathOf(name), conversion);
  }

  /** Returns the converted items of a list, without those that have a fault. */
  <T> List<T> list(String name, Function<String, T> conversion) {
    Optional<NoteNode> node = take(name).filter(found -> !isEmpty(found));
    List<T> values = new ArrayList<>();
    if (node.isEmpty()) {
      return values;
    }
    if (!(node.get() instanceof NoteNode.Sequence sequence)) {
      faults.add(pathOf(name), "is not a list; write [first, second]");
      return values;
    }
    for (int i = 0; i < sequence.items().size(); i++) {
      String place = NoteParser.join(pathOf(name), Integer.toString(i));
      scalar(sequence.items().get(i), place, conversion)
          .ifPresent(
              value -> {
                if (values.contains(value)) {
                  faults.add(place, "is listed twice; keep one");
                }
                values.add(value);
              });
    }
    return values;
  }

  /** Converts the name of a part. */
  <T> Optional<T> nameOf(String name, Function<String, T> conversion) {
    return convert(name, pathOf(name), conversion);
  }

  /** Builds a value from parts that are all free of faults; its own check may find another. */
  <T> Optional<T> build(Supplier<T> construction) {
    try {
      return Optional.of(construction.get());
    } catch (IllegalArgumentException e) {
      faults.add(path, e.getMessage());
      return Optional.empty();
    }
  }

  /** Records a fault for each name that was not read. */
  void rejectUnknown() {
    for (String name : parts.keySet()) {
      if (!read.contains(name)) {
        String known = String.join(", ", read.stream().sorted().toList());
        faults.add(pathOf(name), "is not known; known here: " + known);
      }
    }
  }

  private Optional<NoteNode> take(String name) {
    read.add(name);
    return Optional.ofNullable(parts.get(name));
  }

  private String pathOf(String name) {
    return NoteParser.join(path, name);
  }

  private <T> Optional<T> scalar(NoteNode node, String place, Function<String, T> conversion) {
    if (node instanceof NoteNode.Scalar scalar) {
      return convert(scalar.text(), place, conversion);
    }
    faults.add(place, "is not a single value");
    return Optional.empty();
  }

  private <T> Optional<T> convert(String text, String place, Function<String, T> conversion) {
    try {
      return Optional.of(conversion.apply(text));
    } catch (IllegalArgumentException e) {
      faults.add(place, e.getMessage());
      return Optional.empty();
    }
  }

  private static boolean isEmpty(NoteNode node) {
    return node instanceof NoteNode.Scalar scalar && scalar.text().isEmpty();
  }
}
