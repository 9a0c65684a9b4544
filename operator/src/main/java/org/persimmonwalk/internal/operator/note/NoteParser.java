package org.persimmonwalk.internal.operator.note;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses YAML into a tree of {@link NoteNode}s. Aliases are not resolved, so that the tree is never
 * larger than the text, and classes that the text names in tags are not instantiated.
 */
final class NoteParser {
  /** The deepest valid node, a property of a server in a group, is at depth 7. */
  private static final int DEPTH_LIMIT = 10;

  private static final YAMLFactory YAML = new YAMLFactory();

  private final YAMLParser tokens;
  private final FaultList faults;

  private NoteParser(YAMLParser tokens, FaultList faults) {
    this.tokens = tokens;
    this.faults = faults;
  }

  /** Ends parsing after a fault that is already in the fault list. */
  static final class UnreadableNoteException extends IOException {
    private UnreadableNoteException(String message) {
      super(message);
    }
  }

  /**
   * Parses the text of a release note and adds the faults found to the list.
   *
   * @throws IOException if the text is not YAML, or an {@link UnreadableNoteException} if it is
   *     nested too deeply
   */
  static NoteNode parse(String text, FaultList faults) throws IOException {
    try (YAMLParser tokens = YAML.createParser(text)) {
      NoteParser parser = new NoteParser(tokens, faults);
      if (tokens.nextToken() == null) {
        return new NoteNode.Scalar("");
      }
      NoteNode root = parser.node("", 1);
      if (tokens.nextToken() != null) {
        faults.add("note", "holds a second document; submit one release note at a time");
      }
      return root;
    }
  }

  /** Appends a name to a path, such as {@code added/workspaces}; the root has the empty path. */
  static String join(String path, String name) {
    return path.isEmpty() ? name : path + "/" + name;
  }

  private NoteNode node(String path, int depth) throws IOException {
    String location = path.isEmpty() ? "note" : path;
    if (depth > DEPTH_LIMIT) {
      String message = "is nested deeper than " + DEPTH_LIMIT + " levels; remove levels";
      faults.add(location, message);
      throw new UnreadableNoteException(message);
    }
    if (tokens.isCurrentAlias()) {
      faults.add(location, "is an alias; replace it with the content it refers to");
      return new NoteNode.Scalar("");
    }
    if (tokens.getObjectId() != null || tokens.getTypeId() != null) {
      faults.add(location, "has an anchor or a tag; remove it");
    }
    return switch (tokens.currentToken()) {
      case START_OBJECT -> mapping(path, depth);
      case START_ARRAY -> sequence(path, depth);
      case VALUE_NULL -> new NoteNode.Scalar("");
      default -> new NoteNode.Scalar(tokens.getText());
    };
  }

  private NoteNode mapping(String path, int depth) throws IOException {
    Map<String, NoteNode> entries = new LinkedHashMap<>();
    while (tokens.nextToken() != JsonToken.END_OBJECT) {
      String name = tokens.currentName();
      String location = join(path, name);
      tokens.nextToken();
      NoteNode value = node(location, depth + 1);
      if (entries.putIfAbsent(name, value) != null) {
        faults.add(location, "is written twice; keep one");
      }
    }
    return new NoteNode.Mapping(entries);
  }

  private NoteNode sequence(String path, int depth) throws IOException {
    List<NoteNode> items = new ArrayList<>();
    while (tokens.nextToken() != JsonToken.END_ARRAY) {
      items.add(node(join(path, Integer.toString(items.size())), depth + 1));
    }
    return new NoteNode.Sequence(items);
  }
}
