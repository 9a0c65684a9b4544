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
  /** A workspace is large only if it has this many tokens for each host, so that each holds one. */
  private static final double MINIMUM_TOKENS_PER_HOST = 1;

  /**
   * A workspace is large only if it has this many tokens for each zone. With 5 tokens a zone, 5
   * lenders that write the same row ran out of tokens all the time.
   */
  private static final double MINIMUM_TOKENS_PER_ZONE = 10;

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
      WorkspaceId workspace, RateLimit limit, EngineSettings settings, int fleetSize) {
    List<AvailabilityZone> order = new ArrayList<>(rank(workspace, settings.zones()));
    if (isLarge(limit, settings, fleetSize)) {
      order.remove(settings.zone());
      order.add(0, settings.zone());
    }
    return order;
  }

  /**
   * Returns the zone whose relay takes the tokens of the workspace from the store for all zones in
   * calm operation.
   */
  static AvailabilityZone owner(WorkspaceId workspace, EngineSettings settings) {
    return rank(workspace, settings.zones()).get(0);
  }

  /** Returns whether the relay of the own zone lends the workspace's tokens. */
  static boolean isLender(
      WorkspaceId workspace, RateLimit limit, EngineSettings settings, int fleetSize) {
    return order(workspace, limit, settings, fleetSize).get(0).equals(settings.zone());
  }

  /**
   * Returns whether the workspace has enough tokens for all hosts, so that each zone has a lender
   * and hosts hold tokens before operations need them.
   *
   * @param fleetSize the number of hosts; 0 if unknown, and then no workspace counts as large
   */
  static boolean isLarge(RateLimit limit, EngineSettings settings, int fleetSize) {
    double capacity = RateRow.capacity(limit, settings);
    return sufficesForAllHosts(limit, settings, fleetSize)
        && capacity >= settings.zones().size() * MINIMUM_TOKENS_PER_ZONE;
  }

  /**
   * Returns whether each host can hold a token of the workspace, so that those in use hold one
   * before the next operation comes.
   *
   * @param fleetSize the number of hosts; 0 if unknown
   */
  static boolean sufficesForAllHosts(RateLimit limit, EngineSettings settings, int fleetSize) {
    return fleetSize > 0
        && RateRow.capacity(limit, settings) >= fleetSize * MINIMUM_TOKENS_PER_HOST;
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
