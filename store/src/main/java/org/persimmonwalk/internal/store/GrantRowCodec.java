package org.persimmonwalk.internal.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.GrantId;
import org.persimmonwalk.model.Grant;
import org.persimmonwalk.model.GrantRow;
import org.persimmonwalk.store.RowCodec;

/** Converts the row that divides a rate or connections among entry hosts to JSON and back. */
public final class GrantRowCodec implements RowCodec<GrantRow> {

  private GrantRowCodec() {}

  /** Returns the codec. */
  public static GrantRowCodec create() {
    return new GrantRowCodec();
  }

  @Override
  public Class<GrantRow> type() {
    return GrantRow.class;
  }

  @Override
  public JsonNode encode(GrantRow value) {
    ObjectNode tree = JsonNodeFactory.instance.objectNode().put("total", value.total());
    ObjectNode grants = tree.putObject("grants");
    value.grants().forEach((host, grant) -> encode(grants.putObject(host.value()), grant));
    return tree;
  }

  @Override
  public GrantRow decode(JsonNode tree) {
    Map<EntryHostId, Grant> grants = new HashMap<>();
    tree.required("grants")
        .properties()
        .forEach(
            field -> grants.put(EntryHostId.of(field.getKey()), decodeGrant(field.getValue())));
    return GrantRow.of(tree.required("total").longValue(), grants);
  }

  private static void encode(ObjectNode tree, Grant grant) {
    tree.put("id", grant.id().value());
    tree.put("amount", grant.amount());
    tree.put("durationMilliseconds", grant.duration().toMillis());
  }

  private static Grant decodeGrant(JsonNode tree) {
    return Grant.of(
        GrantId.of(tree.required("id").textValue()),
        tree.required("amount").longValue(),
        Duration.ofMillis(tree.required("durationMilliseconds").longValue()));
  }
}
