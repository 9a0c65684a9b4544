package org.persimmonwalk.store;

import com.fasterxml.jackson.databind.JsonNode;

/** A codec that reads no content. */
enum RefusingCodec implements RowCodec<RateRow> {
  INSTANCE;

  @Override
  public Class<RateRow> type() {
    return RateRow.class;
  }

  @Override
  public JsonNode encode(RateRow value) {
    throw new IllegalArgumentException("the codec writes nothing");
  }

  @Override
  public RateRow decode(JsonNode tree) {
    throw new IllegalArgumentException("the codec reads nothing");
  }
}
