package org.persimmonwalk.internal.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.persimmonwalk.id.ObjectName;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.store.RowCodec;

/** Converts the row that names the current configuration to JSON and back. */
public final class ConfigurationRowCodec implements RowCodec<ConfigurationRow> {

  private ConfigurationRowCodec() {}

  /** Returns the codec. */
  public static ConfigurationRowCodec create() {
    return new ConfigurationRowCodec();
  }

  @Override
  public Class<ConfigurationRow> type() {
    return ConfigurationRow.class;
  }

  @Override
  public JsonNode encode(ConfigurationRow value) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("revision", value.revision().number())
        .put("note", value.note().value())
        .put("object", value.object().value());
  }

  @Override
  public ConfigurationRow decode(JsonNode tree) {
    return ConfigurationRow.of(
        Revision.of(tree.required("revision").longValue()),
        ReleaseNoteId.of(tree.required("note").textValue()),
        ObjectName.of(tree.required("object").textValue()));
  }
}
