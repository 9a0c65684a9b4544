package org.persimmonwalk.store;

import java.util.Map;
import org.persimmonwalk.internal.store.ConfigurationRowCodec;
import org.persimmonwalk.internal.store.GrantRowCodec;
import org.persimmonwalk.internal.store.PromotionClaimCodec;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.model.GrantRow;
import org.persimmonwalk.model.PromotionClaim;

/** The codecs of the tables that persimmonwalk uses in the platform's table service. */
public final class RowCodecs {

  private RowCodecs() {}

  /** Returns the codecs by table name. */
  public static Map<String, RowCodec<?>> standard() {
    return Map.of(
        ConfigurationRow.ROW.table(),
        ConfigurationRowCodec.create(),
        GrantRow.WORKSPACE_TABLE,
        GrantRowCodec.create(),
        GrantRow.SERVER_TABLE,
        GrantRowCodec.create(),
        PromotionClaim.TABLE,
        PromotionClaimCodec.create());
  }
}
