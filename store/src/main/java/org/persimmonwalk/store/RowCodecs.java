package org.persimmonwalk.store;

import java.util.Map;
import org.persimmonwalk.internal.store.ConfigurationRowCodec;
import org.persimmonwalk.internal.store.GrantTableCodec;
import org.persimmonwalk.internal.store.PromotionClaimCodec;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.model.GrantTable;
import org.persimmonwalk.model.PromotionClaim;

/** The codecs of the tables that persimmonwalk uses in the platform's table service. */
public final class RowCodecs {

  private RowCodecs() {}

  /** Returns the codecs by table name. */
  public static Map<String, RowCodec<?>> standard() {
    return Map.of(
        ConfigurationRow.ROW.table(),
        ConfigurationRowCodec.create(),
        GrantTable.WORKSPACE_TABLE,
        GrantTableCodec.create(),
        GrantTable.SERVER_TABLE,
        GrantTableCodec.create(),
        PromotionClaim.TABLE,
        PromotionClaimCodec.create());
  }
}
