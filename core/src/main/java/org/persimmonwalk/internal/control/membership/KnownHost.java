package org.persimmonwalk.internal.control.membership;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.MonotonicTime;

/**
 * What this host knows of another entry host, from the platform's host list and from heartbeats.
 *
 * @param entry the host's zone and endpoint; it is leaving only if the host reported so itself
 * @param listing the state in the host list, empty if the list does not contain the host
 * @param lastReportAt when the host made its newest report, received from it or relayed by a peer
 */
record KnownHost(HostEntry entry, Optional<Listing> listing, Optional<MonotonicTime> lastReportAt) {
  /** A host with a report of at most this age is live, unless it is leaving. */
  static final Duration LIVENESS_TIMEOUT = Duration.ofSeconds(5);

  /**
   * How long after its last report an unlisted host is remembered, and a report that a host is
   * leaving is relayed. It is longer than the host list usually lags, so that a stopped host does
   * not count as live again.
   */
  static final Duration RETENTION = Duration.ofSeconds(60);

  /** The state of a host in the host list. */
  enum Listing {
    LIVE,
    LEAVING
  }

  static KnownHost ofListing(HostEntry entry) {
    return new KnownHost(entry.withLeaving(false), Optional.of(listingOf(entry)), Optional.empty());
  }

  static KnownHost ofReport(HostEntry entry, MonotonicTime reportedAt) {
    return new KnownHost(entry, Optional.empty(), Optional.of(reportedAt));
  }

  KnownHost withListing(HostEntry listed) {
    HostEntry newEntry = lastReportAt.isPresent() ? entry : listed.withLeaving(entry.leaving());
    return new KnownHost(newEntry, Optional.of(listingOf(listed)), lastReportAt);
  }

  KnownHost withoutListing() {
    return new KnownHost(entry, Optional.empty(), lastReportAt);
  }

  /**
   * Applies a report that the host made of itself, if it is newer. A host that has reported that it
   * is leaving remains so.
   */
  KnownHost withReport(HostEntry reported, MonotonicTime reportedAt) {
    if (lastReportAt.isPresent() && !reportedAt.isAfter(lastReportAt.get())) {
      return this;
    }
    HostEntry newEntry = reported.withLeaving(reported.leaving() || entry.leaving());
    return new KnownHost(newEntry, listing, Optional.of(reportedAt));
  }

  /**
   * Returns whether the host is live. Its own report that it is leaving decides first, then any
   * recent report, then the host list.
   */
  boolean isLive(MonotonicTime now) {
    return !entry.leaving()
        && (isReportedWithin(LIVENESS_TIMEOUT, now)
            || listing.filter(value -> value == Listing.LIVE).isPresent());
  }

  /** Returns whether the host list lacks the host or disagrees on whether it is leaving. */
  boolean contradictsListing() {
    return listing.isEmpty() || (listing.get() == Listing.LEAVING) != entry.leaving();
  }

  /** Returns whether the host's newest report is recent enough to be relayed to peers. */
  boolean isRelayable(MonotonicTime now) {
    return isReportedWithin(entry.leaving() ? RETENTION : LIVENESS_TIMEOUT, now);
  }

  boolean isObsolete(MonotonicTime now) {
    return listing.isEmpty() && !isReportedWithin(RETENTION, now);
  }

  private boolean isReportedWithin(Duration limit, MonotonicTime now) {
    return lastReportAt.isPresent() && now.since(lastReportAt.get()).compareTo(limit) <= 0;
  }

  private static Listing listingOf(HostEntry listed) {
    return listed.leaving() ? Listing.LEAVING : Listing.LIVE;
  }
}
