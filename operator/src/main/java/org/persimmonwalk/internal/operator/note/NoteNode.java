package org.persimmonwalk.internal.operator.note;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A node of the YAML tree of a release note, before validation. */
sealed interface NoteNode {

  /** A scalar value as written; the text is empty if the value is null or missing. */
  record Scalar(String text) implements NoteNode {}

  /** A YAML sequence. */
  record Sequence(List<NoteNode> items) implements NoteNode {
    /** Copies the list. */
    public Sequence {
      items = List.copyOf(items);
    }
  }

  /** A YAML mapping; its entries are in the order of the file. */
  record Mapping(Map<String, NoteNode> entries) implements NoteNode {
    /** Copies the map and keeps its order. */
    public Mapping {
      entries = new LinkedHashMap<>(entries);
    }
  }
}
