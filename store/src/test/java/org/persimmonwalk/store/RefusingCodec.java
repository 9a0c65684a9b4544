package org.persimmonwalk.store;

import com.fasterxml.jackson.databind.JsonNode;

/** A codec that rejects all content. */
enum RefusingCodec implements RowCodec<RateRow> {
  INSTANCE;

  @Override
  public Class<RateRow> type() {
    return RateRow.class;
  }

  @Override
  public JsonNode encode(RateRow value) {
    throw new IllegalArgumentException("this codec cannot encode");
  }

  @Override
  public RateRow decode(JsonNode tree) {
    throw new IllegalArgumentException("this codec cannot decode");
  }
}
