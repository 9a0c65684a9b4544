package org.persimmonwalk.engine;

/** Takes one structured line per decision; never blocks and bounds the volume. */
public interface DecisionLog {

  /**
   * Writes a line.
   *
   * @param event what was decided, for example {@code statement-refused}
   * @param fields alternating names and values
   */
  void write(String event, Object... fields);
}
