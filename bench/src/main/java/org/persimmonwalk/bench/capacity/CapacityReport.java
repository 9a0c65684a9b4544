package org.persimmonwalk.bench.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Collects measurements and writes them, with the lines fitted to them, as text or JSON. */
final class CapacityReport {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Map<String, Series> series = new LinkedHashMap<>();
  private final Map<String, String> notes = new TreeMap<>();

  private CapacityReport() {}

  static CapacityReport create() {
    return new CapacityReport();
  }

  /**
   * Adds a point to the series of a quantity over a variable.
   *
   * @param x the value of the variable
   * @param y the measured quantity
   */
  void add(String quantity, String variable, String setting, double x, double y) {
    String name = quantity + " / " + variable + " / " + setting;
    List<LineFit.Point> points = new ArrayList<>();
    if (series.containsKey(name)) {
      points.addAll(series.get(name).points());
    }
    points.add(new LineFit.Point(x, y));
    series.put(name, new Series(quantity, variable, setting, points));
  }

  /** Adds a note, such as the number of connections that the file descriptors allow. */
  void note(String name, String text) {
    notes.put(name, text);
  }

  List<Series> series() {
    return List.copyOf(series.values());
  }

  String text() {
    StringBuilder text = new StringBuilder();
    for (Series item : series.values()) {
      text.append(
          String.format("%n%s by %s (%s)%n", item.quantity(), item.variable(), item.setting()));
      for (LineFit.Point point : item.points()) {
        text.append(String.format(Locale.ROOT, "  %12.0f  %14.4f%n", point.x(), point.y()));
      }
      if (item.points().size() > 1) {
        LineFit line = item.line();
        text.append(
            String.format(
                Locale.ROOT,
                "  line: %.4g + %.4g x, residual %.3g%n",
                line.intercept(),
                line.slope(),
                line.residual()));
      }
    }
    notes.forEach((name, note) -> text.append(String.format("%nnote %s: %s", name, note)));
    return text.append(System.lineSeparator()).toString();
  }

  String json() {
    ObjectNode tree = JSON.createObjectNode();
    ArrayNode list = tree.putArray("series");
    for (Series item : series.values()) {
      ObjectNode node = list.addObject();
      node.put("quantity", item.quantity());
      node.put("variable", item.variable());
      node.put("setting", item.setting());
      ArrayNode points = node.putArray("points");
      item.points().forEach(point -> points.addArray().add(point.x()).add(point.y()));
      if (item.points().size() > 1) {
        LineFit line = item.line();
        node.put("intercept", line.intercept());
        node.put("slope", line.slope());
        node.put("residual", line.residual());
      }
    }
    ObjectNode remarks = tree.putObject("notes");
    notes.forEach(remarks::put);
    try {
      return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the report cannot be written as JSON", e);
    }
  }
}
