package org.persimmonwalk.engine.control;

import java.util.Optional;

/**
 * The content of the row that names the relay of a zone.
 *
 * @param strength how strong the relay is; empty if it does not know, or is of an older build
 */
public record RelayClaim(RelayHost relay, Optional<HostStrength> strength) {
  private static final String SEPARATOR = " ";
  private static final int RELAY_PARTS = 2;

  /** Parses the result of {@link #text()}; empty if the text names no host at an IP address. */
  public static Optional<RelayClaim> parse(String text) {
    String[] parts = text.split(SEPARATOR, RELAY_PARTS + 1);
    if (parts.length <= RELAY_PARTS) {
      return RelayHost.parse(text).map(relay -> new RelayClaim(relay, Optional.empty()));
    }
    Optional<HostStrength> strength = HostStrength.parse(parts[RELAY_PARTS]);
    return strength.isEmpty()
        ? Optional.empty()
        : RelayHost.parse(parts[0] + SEPARATOR + parts[1])
            .map(relay -> new RelayClaim(relay, strength));
  }

  /** Returns the form that is stored. */
  public String text() {
    return strength.map(known -> relay.text() + SEPARATOR + known.percent()).orElseGet(relay::text);
  }
}
