package org.persimmonwalk.internal.operator.note;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A part of a release note's text, before it has a meaning. */
sealed interface NoteNode {

  /** A single value, as written; empty if none was written. */
  record Scalar(String text) implements NoteNode {}

  /** A list. */
  record Sequence(List<NoteNode> items) implements NoteNode {
    /** Copies the list. */
    public Sequence {
      items = List.copyOf(items);
    }
  }

  /** Named parts, in the order in which they were written. */
  record Mapping(Map<String, NoteNode> parts) implements NoteNode {
    /** Copies the map and keeps its order. */
    public Mapping {
      parts = new LinkedHashMap<>(parts);
    }
  }
}
