package org.persimmonwalk.store;

import com.fasterxml.jackson.databind.JsonNode;
import org.persimmonwalk.model.RowValue;

/**
 * Converts one type of row content to a JSON tree and back.
 *
 * @param <T> the type of the content
 */
public interface RowCodec<T extends RowValue> {

  /** Returns the type of the content that this codec handles. */
  Class<T> type();

  /** Encodes the content as a JSON tree. */
  JsonNode encode(T value);

  /**
   * Decodes the content.
   *
   * @throws RuntimeException if the tree is not valid content of this type
   */
  T decode(JsonNode tree);
}
