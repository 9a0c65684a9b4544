package org.persimmonwalk.model;

import java.util.Objects;

/**
 * The next command to a server that does not follow the current primary of its group.
 *
 * @param term the term of the primary that the server is to follow
 * @param dueAt when the command is sent, or sent again
 */
public record FollowOrder(Term term, MonotonicTime dueAt) {

  /** Checks that both parts are present. */
  public FollowOrder {
    Objects.requireNonNull(term, "term");
    Objects.requireNonNull(dueAt, "dueAt");
  }
}
