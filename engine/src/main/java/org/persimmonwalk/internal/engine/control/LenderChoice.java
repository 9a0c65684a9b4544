package org.persimmonwalk.internal.engine.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.WorkspaceId;

/**
 * Chooses the zones whose relays lend the tokens of a workspace. A large workspace has a lender in
 * each zone, so that tokens need not cross zones and a zone that is cut off still has some. The
 * tokens of a small one are too few to be divided: if many hosts hold one each, or several lenders
 * write its rate row at once, operations are refused although its rate is unused. Such a workspace
 * has a single lender, and hosts ask it for each operation.
 *
 * <p>All hosts choose alike by rendezvous hashing, without agreeing on it. Hosts that disagree for
 * a while only cost calls, as every token is taken from the rate row.
 */
final class LenderChoice {
  /**
   * A lender keeps about 0.4 of its part at hand, 10 tokens of this many, which serves the hosts of
   * a zone for a second.
   */
  private static final double MINIMUM_TOKENS_PER_LENDER = 25;

  /**
   * Hosts hold tokens of a workspace in advance if its tokens suffice for this many for each host:
   * one that is held and one in the pool of a lender.
   */
  private static final double MINIMUM_TOKENS_PER_HOST = 2;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX_FACTOR = 0xff51afd7ed558ccdL;
  private static final int MIX_SHIFT = 33;

  private LenderChoice() {}

  /**
   * Returns the zones in the order in which a host of the given zone asks their relays: first those
   * that lend the workspace's tokens, the own one before the others, then those that stand in.
   */
  static List<AvailabilityZone> order(
      WorkspaceId workspace, RateLimit limit, EngineSettings settings) {
    List<AvailabilityZone> ranked = rank(workspace, settings.zones());
    List<AvailabilityZone> lending = ranked.subList(0, lenderCount(limit, settings));
    List<AvailabilityZone> order = new ArrayList<>(ranked);
    if (lending.contains(settings.zone())) {
      order.remove(settings.zone());
      order.add(0, settings.zone());
    }
    return order;
  }

  /** Returns whether the relay of the own zone lends the workspace's tokens. */
  static boolean isLender(WorkspaceId workspace, RateLimit limit, EngineSettings settings) {
    return order(workspace, limit, settings).get(0).equals(settings.zone());
  }

  /** Returns whether hosts hold tokens of the workspace before operations need them. */
  static boolean holdsInAdvance(RateLimit limit, EngineSettings settings, int fleetSize) {
    return fleetSize > 0
        && RateRow.capacity(limit, settings) >= fleetSize * MINIMUM_TOKENS_PER_HOST;
  }

  private static int lenderCount(RateLimit limit, EngineSettings settings) {
    int count = (int) (RateRow.capacity(limit, settings) / MINIMUM_TOKENS_PER_LENDER);
    return Math.max(1, Math.min(settings.zones().size(), count));
  }

  private static List<AvailabilityZone> rank(
      WorkspaceId workspace, Collection<AvailabilityZone> zones) {
    return zones.stream()
        .sorted(
            Comparator.comparingLong((AvailabilityZone zone) -> weight(workspace, zone))
                .thenComparing(Comparator.naturalOrder()))
        .toList();
  }

  /** Hashes both names; the final mix spreads names that differ in their last character. */
  private static long weight(WorkspaceId workspace, AvailabilityZone zone) {
    long hash = FNV_OFFSET;
    String names = workspace.value() + ' ' + zone.value();
    for (int i = 0; i < names.length(); i++) {
      hash = (hash ^ names.charAt(i)) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_FACTOR;
    return hash ^ (hash >>> MIX_SHIFT);
  }
}
