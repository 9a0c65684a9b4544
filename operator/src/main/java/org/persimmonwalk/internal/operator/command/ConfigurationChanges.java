package org.persimmonwalk.internal.operator.command;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.internal.operator.output.Table;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.release.ItemName;

/** Compares two configurations field by field. */
final class ConfigurationChanges {

  private ConfigurationChanges() {}

  /** Returns a table with a row for each field that differs, ordered by item. */
  static Table between(Configuration before, Configuration after) {
    Map<ItemName, Map<String, Object>> old = describe(before);
    Map<ItemName, Map<String, Object>> next = describe(after);
    TreeSet<ItemName> names = new TreeSet<>(old.keySet());
    names.addAll(next.keySet());
    Table table = Table.of("change", "item", "field", "before", "after");
    for (ItemName name : names) {
      String change =
          !old.containsKey(name) ? "added" : next.containsKey(name) ? "changed" : "withdrawn";
      Map<String, Object> oldFields = old.getOrDefault(name, Map.of());
      Map<String, Object> nextFields = next.getOrDefault(name, Map.of());
      Map<String, Object> fields = new LinkedHashMap<>(oldFields);
      fields.putAll(nextFields);
      for (String field : fields.keySet()) {
        Object oldValue = oldFields.get(field);
        Object nextValue = nextFields.get(field);
        if (!Objects.equals(oldValue, nextValue)) {
          table = table.withRow(change, name.path(), field, oldValue, nextValue);
        }
      }
    }
    return table;
  }

  private static Map<ItemName, Map<String, Object>> describe(Configuration configuration) {
    Map<ItemName, Map<String, Object>> items = new TreeMap<>();
    for (Workspace workspace : configuration.workspaces().values()) {
      Map<String, Object> fields = fields(items, ItemName.of(workspace.id()));
      fields.put("rate", workspace.rate());
      fields.put("burst", workspace.burst());
      fields.put("groups", list(workspace));
      fields.put("open", workspace.open());
    }
    configuration
        .keys()
        .forEach(
            (hash, key) ->
                fields(items, ItemName.of(hash)).put("workspace", key.workspace().value()));
    for (DatabaseGroup group : configuration.groups().values()) {
      fields(items, ItemName.of(group.id()))
          .put("defaultMaximumAge", group.defaultMaximumAge().toMillis() + "ms");
      for (BackendServer server : group.servers()) {
        Map<String, Object> fields = fields(items, ItemName.of(server.id()));
        fields.put("group", group.id().value());
        fields.put("zone", server.zone().value());
        fields.put("endpoint", server.endpoint().toString());
        fields.put("slots", server.slots());
        fields.put("connections", server.connections());
        fields.put("leaving", server.leaving());
      }
    }
    return items;
  }

  private static String list(Workspace workspace) {
    return String.join(
        ",", workspace.groups().stream().map(DatabaseGroupId::value).sorted().toList());
  }

  private static Map<String, Object> fields(
      Map<ItemName, Map<String, Object>> items, ItemName name) {
    return items.computeIfAbsent(name, absent -> new LinkedHashMap<>());
  }
}
