package org.persimmonwalk.model;

import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;

/**
 * The content of the claim row of a database group, which says that a host is promoting a new
 * primary. The claim only reduces competition between hosts and is not a lock: which promotion
 * succeeds is decided by the terms that the servers have promised.
 *
 * @param host the host that performs the promotion
 * @param term the term that the host intends to use
 * @param promoted the new primary, once the promotion has succeeded
 */
public record PromotionClaim(EntryHostId host, Term term, Optional<BackendServerId> promoted)
    implements RowValue {

  /** The table with a claim row for each database group. */
  public static final String TABLE = "promotions";

  /** Checks that all parts are present. */
  public PromotionClaim {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(term, "term");
    Objects.requireNonNull(promoted, "promoted");
  }

  /** Returns the claim of a host that starts a promotion. */
  public static PromotionClaim of(EntryHostId host, Term term) {
    return new PromotionClaim(host, term, Optional.empty());
  }

  /** Returns the table and key of the claim row of a group. */
  public static TableRow rowOf(DatabaseGroupId group) {
    return TableRow.of(TABLE, group.value());
  }

  /** Returns the claim after the server was promoted in the given term. */
  public PromotionClaim withPromoted(Term promotedTerm, BackendServerId server) {
    return new PromotionClaim(host, promotedTerm, Optional.of(server));
  }
}
