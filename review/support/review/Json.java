package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes the JSON documents of the store and of the settings file. */
final class Json {
  private final String text;
  private int position;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.skipBlanks();
    if (json.position != text.length()) {
      throw new IllegalArgumentException("text after the document");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(Object value) {
    return (Map<String, Object>) value;
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Object value) {
    return value == null ? List.of() : (List<Object>) value;
  }

  static Map<String, Object> map(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  private void skipBlanks() {
    while (position < text.length() && text.charAt(position) <= ' ') {
      position++;
    }
  }

  private char next() {
    skipBlanks();
    return text.charAt(position);
  }

  private Object value() {
    char first = next();
    if (first == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      position++;
      while (next() != '}') {
        if (next() == ',') {
          position++;
        }
        next();
        String name = string();
        if (next() != ':') {
          throw new IllegalArgumentException("no colon at " + position);
        }
        position++;
        map.put(name, value());
      }
      position++;
      return map;
    } else if (first == '[') {
      List<Object> list = new ArrayList<>();
      position++;
      while (next() != ']') {
        if (next() == ',') {
          position++;
        }
        list.add(value());
      }
      position++;
      return list;
    } else if (first == '"') {
      return string();
    }
    int start = position;
    while (position < text.length() && "{}[],: \r\n\t".indexOf(text.charAt(position)) < 0) {
      position++;
    }
    String word = text.substring(start, position);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.valueOf(word);
    };
  }

  private String string() {
    StringBuilder result = new StringBuilder();
    position++;
    while (text.charAt(position) != '"') {
      char c = text.charAt(position++);
      if (c != '\\') {
        result.append(c);
        continue;
      }
      char escaped = text.charAt(position++);
      switch (escaped) {
        case 'n' -> result.append('\n');
        case 'r' -> result.append('\r');
        case 't' -> result.append('\t');
        case 'b' -> result.append('\b');
        case 'f' -> result.append('\f');
        case 'u' -> {
          result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
          position += 4;
        }
        default -> result.append(escaped);
      }
    }
    position++;
    return result.toString();
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(out, value);
    return out.toString();
  }

  private static void write(StringBuilder out, Object value) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> field : map.entrySet()) {
        out.append(separator);
        write(out, field.getKey());
        out.append(':');
        write(out, field.getValue());
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String separator = "";
      for (Object element : list) {
        out.append(separator);
        write(out, element);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (char c : string.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }
}
