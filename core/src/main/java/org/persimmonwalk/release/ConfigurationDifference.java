package org.persimmonwalk.release;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;

/** Compares two configurations item by item, to find the items in conflict with a release note. */
final class ConfigurationDifference {

  private ConfigurationDifference() {}

  /** Returns the items that only one configuration has or that differ in content. */
  static Set<ItemName> between(Configuration first, Configuration second) {
    Map<ItemName, Object> firstItems = items(first);
    Map<ItemName, Object> secondItems = items(second);
    Set<ItemName> names = new TreeSet<>(firstItems.keySet());
    names.addAll(secondItems.keySet());
    names.removeIf(
        name -> firstItems.containsKey(name) && firstItems.get(name).equals(secondItems.get(name)));
    return names;
  }

  private static Map<ItemName, Object> items(Configuration configuration) {
    Map<ItemName, Object> items = new HashMap<>();
    configuration.workspaces().forEach((id, workspace) -> items.put(ItemName.of(id), workspace));
    configuration.keys().forEach((hash, key) -> items.put(ItemName.of(hash), key));
    for (DatabaseGroup group : configuration.groups().values()) {
      items.put(ItemName.of(group.id()), group);
      group.servers().forEach(server -> items.put(ItemName.of(server.id()), server));
    }
    return items;
  }
}
