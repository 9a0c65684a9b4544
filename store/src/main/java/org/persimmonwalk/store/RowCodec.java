package org.persimmonwalk.store;

import com.fasterxml.jackson.databind.JsonNode;
import org.persimmonwalk.model.RowValue;

/**
 * Maps one type of row content to a JSON tree and back.
 *
 * @param <T> the type of the content
 */
public interface RowCodec<T extends RowValue> {

  /** Returns the type of the content. */
  Class<T> type();

  /** Returns the content as a tree. */
  JsonNode encode(T value);

  /**
   * Reads the content.
   *
   * @throws RuntimeException if the tree does not hold such content
   */
  T decode(JsonNode tree);
}
