package org.persimmonwalk.internal.control;

/**
 * One fault of a schedule.
 *
 * @param target which host or server it meets, where the fault does not say that
 * @param holdMillis how long the fault lasts
 * @param gapMillis the time from this fault to the next one
 */
record FaultStep(Fault fault, int target, int holdMillis, int gapMillis) {

  /** What may happen; all but the death of a host and the release notes end after a time. */
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
