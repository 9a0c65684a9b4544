package org.persimmonwalk.model;

import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;

/**
 * The content of a group's claim row: which host promotes a server. It keeps hosts from competing
 * and gives no right; the terms of the group decide.
 *
 * @param host the host that promotes
 * @param term the term that the host intends to use
 * @param promoted the new primary, once the promotion has succeeded
 */
public record PromotionClaim(EntryHostId host, Term term, Optional<BackendServerId> promoted)
    implements RowValue {

  /** The table with a row for each group. */
  public static final String TABLE = "promotions";

  /** Checks that all parts are present. */
  public PromotionClaim {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(term, "term");
    Objects.requireNonNull(promoted, "promoted");
  }

  /** Returns the claim of a host that begins a promotion. */
  public static PromotionClaim of(EntryHostId host, Term term) {
    return new PromotionClaim(host, term, Optional.empty());
  }

  /** Returns the claim row of a group. */
  public static TableRow rowOf(DatabaseGroupId group) {
    return TableRow.of(TABLE, group.value());
  }

  /** Returns the claim after the server was promoted in the given term. */
  public PromotionClaim withPromoted(Term promotedTerm, BackendServerId server) {
    return new PromotionClaim(host, promotedTerm, Optional.of(server));
  }
}
