package org.persimmonwalk.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/** Converts {@link RateRow} to JSON and back. */
final class RateRowCodec implements RowCodec<RateRow> {

  @Override
  public Class<RateRow> type() {
    return RateRow.class;
  }

  @Override
  public JsonNode encode(RateRow value) {
    return JsonNodeFactory.instance.objectNode().put("rate", value.rate());
  }

  @Override
  public RateRow decode(JsonNode tree) {
    if (!tree.path("rate").isInt()) {
      throw new IllegalArgumentException("the row has no rate");
    }
    return new RateRow(tree.get("rate").intValue());
  }
}
