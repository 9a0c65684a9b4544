package org.persimmonwalk.internal.engine.traffic;

/** Combines a host's own latency of a server with what the hosts of its zone have measured. */
final class ZoneLatency {
  /**
   * The answers of the zone at which its mean counts as much as the host's own average, which is
   * that of about ten answers.
   */
  private static final double EQUAL_ANSWERS = 2;

  private ZoneLatency() {}

  /** Returns the estimate; the zone's mean counts the more, the more answers it is from. */
  static double blend(double ownMillis, double zoneMillis, double zoneAnswers) {
    double zonePart = zoneAnswers / (zoneAnswers + EQUAL_ANSWERS);
    return ownMillis + (zoneMillis - ownMillis) * zonePart;
  }
}
