package org.persimmonwalk.internal.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PromotionClaim;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.store.RowCodec;

/** Converts the row that names the host promoting a server of a group to JSON and back. */
public final class PromotionClaimCodec implements RowCodec<PromotionClaim> {

  private PromotionClaimCodec() {}

  /** Returns the codec. */
  public static PromotionClaimCodec create() {
    return new PromotionClaimCodec();
  }

  @Override
  public Class<PromotionClaim> type() {
    return PromotionClaim.class;
  }

  @Override
  public JsonNode encode(PromotionClaim value) {
    ObjectNode tree =
        JsonNodeFactory.instance
            .objectNode()
            .put("host", value.host().value())
            .put("term", value.term().number());
    value.promoted().ifPresent(server -> tree.put("promoted", server.value()));
    return tree;
  }

  @Override
  public PromotionClaim decode(JsonNode tree) {
    return new PromotionClaim(
        EntryHostId.of(tree.required("host").textValue()),
        Term.of(tree.required("term").longValue()),
        Optional.ofNullable(tree.get("promoted"))
            .map(JsonNode::textValue)
            .map(BackendServerId::of));
  }
}
