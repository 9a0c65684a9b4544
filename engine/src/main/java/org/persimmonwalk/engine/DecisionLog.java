package org.persimmonwalk.engine;

/**
 * Log of the engine's decisions, one structured line each. The control thread and the traffic
 * thread write to it, so implementations must not block and must limit the volume.
 */
public interface DecisionLog {

  /**
   * Writes a line.
   *
   * @param event what was decided, for example {@code statement-failed}
   * @param fields alternating field names and values
   */
  void write(String event, Object... fields);
}
