package org.persimmonwalk.internal.traffic.caller;

import io.netty.buffer.ByteBufAllocator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.FrameWriter;
import org.persimmonwalk.wire.MessageType;
import org.persimmonwalk.wire.PayloadReader;

/**
 * The prepared statements of one caller. They are kept here and not on a backend connection, so
 * that each batch can run on a different connection.
 */
final class PreparedStatements {
  private static final int MAXIMUM_STATEMENTS = 4_096;

  private final Map<String, Prepared> statements = new HashMap<>();

  private PreparedStatements() {}

  static PreparedStatements create() {
    return new PreparedStatements();
  }

  /** A statement text and its parameter types as object identifiers. */
  record Prepared(String text, int[] parameterTypes) {

    /** Returns a parse message that prepares it as the unnamed statement. */
    Frame toFrame(ByteBufAllocator allocator) {
      FrameWriter writer =
          FrameWriter.of(allocator, MessageType.PARSE)
              .string("")
              .string(text)
              .shortValue(parameterTypes.length);
      for (int type : parameterTypes) {
        writer.intValue(type);
      }
      return writer.toFrame();
    }
  }

  /** Stores the statement of a parse message and returns its name. */
  String prepare(Frame parse) {
    PayloadReader reader = PayloadReader.of(parse);
    String name = reader.readString();
    String text = reader.readString();
    int[] types = new int[reader.readCount()];
    for (int i = 0; i < types.length; i++) {
      types[i] = reader.readInt();
    }
    if (statements.size() >= MAXIMUM_STATEMENTS && !statements.containsKey(name)) {
      throw PersimmonwalkException.of(
          ResultCode.UNSUPPORTED,
          "more than " + MAXIMUM_STATEMENTS + " prepared statements; close some");
    }
    statements.put(name, new Prepared(text, types));
    return name;
  }

  /** Returns the statement with the given name, if it was prepared. */
  Optional<Prepared> find(String name) {
    return Optional.ofNullable(statements.get(name));
  }

  /** Removes a statement. */
  void close(String name) {
    statements.remove(name);
  }
}
