package org.persimmonwalk.internal.control;

/**
 * One fault of a schedule.
 *
 * @param target the index of the affected host or server, unless the kind of fault determines it
 * @param durationMillis how long the fault lasts
 * @param gapMillis the time from this fault to the next one
 */
record FaultStep(Fault fault, int target, int durationMillis, int gapMillis) {

  /**
   * The kinds of fault. All end after a time, except the death of a host and configuration changes.
   */
  enum Fault {
    PRIMARY_ISOLATED,
    PRIMARY_STOPPED,
    SERVER_ISOLATED,
    HOST_CUT_FROM_PRIMARY,
    REPLICAS_BEHIND,
    HOST_PAUSED,
    HOST_KILLED,
    PROMOTER_PAUSED,
    STORE_DOWN,
    STORE_ANSWERS_LOST,
    KEY_REPLACED,
    OLDER_CONFIGURATION_READ
  }
}
