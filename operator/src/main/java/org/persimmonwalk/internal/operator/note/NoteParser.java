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
 * Reads YAML token by token into a tree. It resolves no aliases and builds no objects that the text
 * names, so the tree is never larger than the text.
 */
final class NoteParser {
  /** The deepest valid part, a value of a server in a group, is at depth 7. */
  private static final int DEPTH_LIMIT = 10;

  private static final YAMLFactory YAML = new YAMLFactory();

  private final YAMLParser tokens;
  private final FaultList faults;

  private NoteParser(YAMLParser tokens, FaultList faults) {
    this.tokens = tokens;
    this.faults = faults;
  }

  /** Signals that the rest of the text cannot be read; the fault is recorded already. */
  static final class UnreadableException extends IOException {
    private UnreadableException(String message) {
      super(message);
    }
  }

  /**
   * Reads the text of a release note.
   *
   * @throws IOException if the text is not YAML or is nested too deeply
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

  static String join(String path, String name) {
    return path.isEmpty() ? name : path + "/" + name;
  }

  private NoteNode node(String path, int depth) throws IOException {
    String place = path.isEmpty() ? "note" : path;
    if (depth > DEPTH_LIMIT) {
      String message = "is nested deeper than " + DEPTH_LIMIT + " levels; remove levels";
      faults.add(place, message);
      throw new UnreadableException(message);
    }
    if (tokens.isCurrentAlias()) {
      faults.add(place, "is an alias; write the content out");
      return new NoteNode.Scalar("");
    }
    if (tokens.getObjectId() != null || tokens.getTypeId() != null) {
      faults.add(place, "has an anchor or a tag; remove it");
    }
    return switch (tokens.currentToken()) {
      case START_OBJECT -> mapping(path, depth);
      case START_ARRAY -> sequence(path, depth);
      case VALUE_NULL -> new NoteNode.Scalar("");
      default -> new NoteNode.Scalar(tokens.getText());
    };
  }

  private NoteNode mapping(String path, int depth) throws IOException {
    Map<String, NoteNode> parts = new LinkedHashMap<>();
    while (tokens.nextToken() != JsonToken.END_OBJECT) {
      String name = tokens.currentName();
      String place = join(path, name);
      tokens.nextToken();
      NoteNode part = node(place, depth + 1);
      if (parts.putIfAbsent(name, part) != null) {
        faults.add(place, "is written twice; keep one");
      }
    }
    return new NoteNode.Mapping(parts);
  }

  private NoteNode sequence(String path, int depth) throws IOException {
    List<NoteNode> items = new ArrayList<>();
    while (tokens.nextToken() != JsonToken.END_ARRAY) {
      items.add(node(join(path, Integer.toString(items.size())), depth + 1));
    }
    return new NoteNode.Sequence(items);
  }
}
