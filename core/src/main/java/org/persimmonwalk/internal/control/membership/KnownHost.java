package org.persimmonwalk.internal.control.membership;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.MonotonicTime;

/**
 * What is known of another entry host.
 *
 * @param entry zone and endpoint; leaving only if the host said so itself
 * @param listing what the host list says, empty if it does not name the host
 * @param heardAt when the host last said something, directly or passed on by others
 */
record KnownHost(HostEntry entry, Optional<Listing> listing, Optional<MonotonicTime> heardAt) {
  /** A host that was heard of within this time is live. */
  static final Duration HEARD_LIMIT = Duration.ofSeconds(5);

  /** Longer than the host list usually lags, so that a stopped host is not taken for live. */
  static final Duration RETENTION = Duration.ofSeconds(60);

  /** What the host list says of a host. */
  enum Listing {
    LIVE,
    LEAVING
  }

  static KnownHost listed(HostEntry entry) {
    return new KnownHost(entry.withLeaving(false), Optional.of(listingOf(entry)), Optional.empty());
  }

  static KnownHost heard(HostEntry entry, MonotonicTime heardAt) {
    return new KnownHost(entry, Optional.empty(), Optional.of(heardAt));
  }

  KnownHost withListing(HostEntry listed) {
    HostEntry newEntry = heardAt.isPresent() ? entry : listed.withLeaving(entry.leaving());
    return new KnownHost(newEntry, Optional.of(listingOf(listed)), heardAt);
  }

  KnownHost withoutListing() {
    return new KnownHost(entry, Optional.empty(), heardAt);
  }

  /** Takes a newer statement of the host; a host that has said that it leaves never stays. */
  KnownHost withStatement(HostEntry stated, MonotonicTime statedAt) {
    if (heardAt.isPresent() && !statedAt.isAfter(heardAt.get())) {
      return this;
    }
    HostEntry newEntry = stated.withLeaving(stated.leaving() || entry.leaving());
    return new KnownHost(newEntry, listing, Optional.of(statedAt));
  }

  /** Trusts the host itself first, then recent news of it, then the host list. */
  boolean isLive(MonotonicTime now) {
    return !entry.leaving()
        && (isHeardWithin(HEARD_LIMIT, now)
            || listing.filter(value -> value == Listing.LIVE).isPresent());
  }

  /** Returns whether peers may need the news because the host list says something else. */
  boolean contradictsListing() {
    return listing.isEmpty() || (listing.get() == Listing.LEAVING) != entry.leaving();
  }

  /** Returns whether the news of the host is recent enough to be passed on. */
  boolean isNews(MonotonicTime now) {
    return isHeardWithin(entry.leaving() ? RETENTION : HEARD_LIMIT, now);
  }

  boolean isObsolete(MonotonicTime now) {
    return listing.isEmpty() && !isHeardWithin(RETENTION, now);
  }

  private boolean isHeardWithin(Duration limit, MonotonicTime now) {
    return heardAt.isPresent() && now.since(heardAt.get()).compareTo(limit) <= 0;
  }

  private static Listing listingOf(HostEntry listed) {
    return listed.leaving() ? Listing.LEAVING : Listing.LIVE;
  }
}
