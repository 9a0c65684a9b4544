package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes the JSON bodies of the platform's pages. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.blanks();
    if (json.at < text.length()) {
      throw new IllegalArgumentException("text after the document");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  private void blanks() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private Object value() {
    blanks();
    char next = text.charAt(at);
    if (next == '{') {
      Map<String, Object> fields = new LinkedHashMap<>();
      at++;
      for (blanks(); text.charAt(at) != '}'; blanks()) {
        if (text.charAt(at) == ',') {
          at++;
          blanks();
        }
        String name = string();
        blanks();
        at++;
        fields.put(name, value());
      }
      at++;
      return fields;
    }
    if (next == '[') {
      List<Object> elements = new ArrayList<>();
      at++;
      for (blanks(); text.charAt(at) != ']'; blanks()) {
        if (text.charAt(at) == ',') {
          at++;
        }
        elements.add(value());
      }
      at++;
      return elements;
    }
    if (next == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    };
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        c = text.charAt(at++);
        switch (c) {
          case 'n' -> out.append('\n');
          case 't' -> out.append('\t');
          case 'r' -> out.append('\r');
          case 'b' -> out.append('\b');
          case 'f' -> out.append('\f');
          case 'u' -> {
            out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
            at += 4;
          }
          default -> out.append(c);
        }
      } else {
        out.append(c);
      }
    }
    at++;
    return out.toString();
  }

  static String write(Object value) {
    if (value instanceof Map<?, ?> map) {
      List<String> fields = new ArrayList<>();
      map.forEach((name, field) -> fields.add(write(name) + ":" + write(field)));
      return "{" + String.join(",", fields) + "}";
    }
    if (value instanceof List<?> list) {
      List<String> elements = new ArrayList<>();
      list.forEach(element -> elements.add(write(element)));
      return "[" + String.join(",", elements) + "]";
    }
    if (value instanceof String text) {
      StringBuilder out = new StringBuilder("\"");
      for (char c : text.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      return out.append('"').toString();
    }
    return String.valueOf(value);
  }
}
