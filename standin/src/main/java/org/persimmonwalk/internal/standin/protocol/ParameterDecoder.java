package org.persimmonwalk.internal.standin.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.internal.standin.engine.SqlException;

/**
 * Converts the parameter values of a bind message to text. The constants are PostgreSQL's object
 * identifiers of the types.
 */
final class ParameterDecoder {
  private static final int BOOLEAN = 16;
  private static final int INT8 = 20;
  private static final int INT2 = 21;
  private static final int INT4 = 23;
  private static final int TEXT = 25;
  private static final int FLOAT8 = 701;
  private static final int VARCHAR = 1043;

  private ParameterDecoder() {}

  /**
   * Returns the values as text.
   *
   * @param types the type identifiers of the parse message, which may be fewer than the values
   * @throws SqlException if a binary value has an unsupported type
   */
  static List<String> decode(ClientMessage.Bind bind, List<Integer> types) {
    List<String> texts = new ArrayList<>();
    for (int index = 0; index < bind.values().size(); index++) {
      byte[] value = bind.values().get(index);
      int type = index < types.size() ? types.get(index) : 0;
      boolean binary = format(bind.formats(), index) == 1;
      texts.add(value == null ? null : binary ? binaryText(type, value) : text(value));
    }
    return texts;
  }

  private static int format(List<Integer> formats, int index) {
    if (formats.isEmpty()) {
      return 0;
    }
    return formats.size() == 1 ? formats.get(0) : formats.get(index);
  }

  private static String binaryText(int type, byte[] value) {
    ByteBuffer buffer = ByteBuffer.wrap(value);
    return switch (type) {
      case BOOLEAN -> value[0] == 0 ? "f" : "t";
      case INT2 -> Short.toString(buffer.getShort());
      case INT4 -> Integer.toString(buffer.getInt());
      case INT8 -> Long.toString(buffer.getLong());
      case FLOAT8 -> Double.toString(buffer.getDouble());
      case 0, TEXT, VARCHAR -> text(value);
      default ->
          throw SqlException.of(
              "0A000", "binary parameters of type " + type + " are not supported");
    };
  }

  private static String text(byte[] value) {
    return new String(value, StandardCharsets.UTF_8);
  }
}
