package org.persimmonwalk.internal.operator.output;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.persimmonwalk.result.PersimmonwalkException;

/** Prints JSON for programs: a table is an array of objects, all else is one object. */
public final class JsonOutput implements Output {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final PrintStream out;
  private final PrintStream err;

  private JsonOutput(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Returns an output that prints results to the first stream, all else to the second. */
  public static JsonOutput of(PrintStream out, PrintStream err) {
    return new JsonOutput(out, err);
  }

  @Override
  public void table(Table table) {
    ArrayNode rows = JSON.createArrayNode();
    for (List<Object> row : table.rows()) {
      ObjectNode node = rows.addObject();
      for (int i = 0; i < row.size(); i++) {
        node.putPOJO(table.columns().get(i), row.get(i));
      }
    }
    out.println(rows.toPrettyString());
  }

  @Override
  public void result(Map<String, Object> values) {
    ObjectNode node = JSON.createObjectNode();
    values.forEach(node::putPOJO);
    out.println(node.toPrettyString());
  }

  @Override
  public void progress(String text) {
    err.println(JSON.createObjectNode().put("progress", text));
  }

  @Override
  public void failure(PersimmonwalkException failure) {
    ObjectNode node = JSON.createObjectNode();
    node.putObject("error")
        .put("code", failure.code().label())
        .put("name", failure.code().name())
        .put("message", failure.getMessage());
    err.println(node.toPrettyString());
  }
}
