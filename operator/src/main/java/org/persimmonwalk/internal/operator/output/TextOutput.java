package org.persimmonwalk.internal.operator.output;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.persimmonwalk.result.PersimmonwalkException;

/** Prints text for people: a table has aligned columns, named values have a line each. */
public final class TextOutput implements Output {
  private final PrintStream out;
  private final PrintStream err;

  private TextOutput(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Returns an output that prints results to the first stream, all else to the second. */
  public static TextOutput of(PrintStream out, PrintStream err) {
    return new TextOutput(out, err);
  }

  @Override
  public void table(Table table) {
    List<List<String>> lines = new ArrayList<>();
    lines.add(table.columns());
    table.rows().forEach(row -> lines.add(row.stream().map(TextOutput::text).toList()));
    int[] widths = new int[table.columns().size()];
    for (List<String> line : lines) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], line.get(i).length());
      }
    }
    for (List<String> line : lines) {
      StringBuilder padded = new StringBuilder();
      for (int i = 0; i < widths.length; i++) {
        padded.append(line.get(i)).append(" ".repeat(widths[i] - line.get(i).length() + 2));
      }
      out.println(padded.toString().stripTrailing());
    }
  }

  @Override
  public void result(Map<String, Object> values) {
    values.forEach((name, value) -> out.println(name + ": " + text(value)));
  }

  @Override
  public void progress(String text) {
    err.println(text);
  }

  @Override
  public void failure(PersimmonwalkException failure) {
    err.println(failure.getMessage());
  }

  private static String text(Object value) {
    if (value instanceof Double number && number == Math.rint(number)) {
      return Long.toString(number.longValue());
    } else if (value instanceof Double number) {
      return String.format("%.1f", number);
    } else if (value instanceof Boolean flag) {
      return flag ? "yes" : "no";
    }
    return value == null ? "-" : value.toString();
  }
}
