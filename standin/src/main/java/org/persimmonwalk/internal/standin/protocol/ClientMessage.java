package org.persimmonwalk.internal.standin.protocol;

import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.MessageType;
import org.persimmonwalk.wire.PayloadReader;

/** A message that a client sends after log-in; named as in the PostgreSQL protocol. */
sealed interface ClientMessage {

  /**
   * Returns whether the message belongs to a sequence that a sync ends; after an error the rest of
   * the sequence is skipped.
   */
  default boolean extended() {
    return true;
  }

  record Query(String text) implements ClientMessage {
    @Override
    public boolean extended() {
      return false;
    }
  }

  record Parse(String name, String text, List<Integer> types) implements ClientMessage {}

  record Bind(String portal, String statement, List<Integer> formats, List<byte[]> values)
      implements ClientMessage {}

  record Describe(boolean portal, String name) implements ClientMessage {}

  record Execute(String portal, int maximumRows) implements ClientMessage {}

  record Close(boolean portal, String name) implements ClientMessage {}

  record Sync() implements ClientMessage {
    @Override
    public boolean extended() {
      return false;
    }
  }

  record Flush() implements ClientMessage {}

  record Terminate() implements ClientMessage {
    @Override
    public boolean extended() {
      return false;
    }
  }

  record Unsupported(byte type) implements ClientMessage {
    @Override
    public boolean extended() {
      return false;
    }
  }

  /** Parses a frame without releasing it. */
  static ClientMessage parse(Frame frame) {
    PayloadReader reader = PayloadReader.of(frame);
    return switch (frame.type()) {
      case MessageType.QUERY -> new Query(reader.readString());
      case MessageType.PARSE ->
          new Parse(reader.readString(), reader.readString(), readTypes(reader));
      case MessageType.BIND ->
          new Bind(
              reader.readString(), reader.readString(), readFormats(reader), readValues(reader));
      case MessageType.DESCRIBE -> new Describe(reader.readByte() == 'P', reader.readString());
      case MessageType.EXECUTE -> new Execute(reader.readString(), reader.readInt());
      case MessageType.CLOSE -> new Close(reader.readByte() == 'P', reader.readString());
      case MessageType.SYNC -> new Sync();
      case MessageType.FLUSH -> new Flush();
      case MessageType.TERMINATE -> new Terminate();
      default -> new Unsupported(frame.type());
    };
  }

  private static List<Integer> readTypes(PayloadReader reader) {
    List<Integer> types = new ArrayList<>();
    for (int left = reader.readCount(); left > 0; left--) {
      types.add(reader.readInt());
    }
    return types;
  }

  private static List<Integer> readFormats(PayloadReader reader) {
    List<Integer> formats = new ArrayList<>();
    for (int left = reader.readCount(); left > 0; left--) {
      formats.add(reader.readCount());
    }
    return formats;
  }

  private static List<byte[]> readValues(PayloadReader reader) {
    List<byte[]> values = new ArrayList<>();
    for (int left = reader.readCount(); left > 0; left--) {
      values.add(reader.readValue());
    }
    return values;
  }
}
