package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;

/** Builds candidates that differ from a usable, idle replica of the own zone in a few points. */
final class CandidateBuilder {
  private boolean usable = true;
  private boolean primary;
  private boolean ownZone = true;
  private boolean connected = true;
  private boolean hasSpareConnection = true;
  private int slots = 5;
  private double latencyMillis = 20;
  private int outstanding;
  private double outstandingElsewhere;
  private double reportedAnswers;
  private double share = 1;
  private Duration ejectedFor = Duration.ZERO;

  static CandidateBuilder candidate() {
    return new CandidateBuilder();
  }

  CandidateBuilder unusable() {
    usable = false;
    return this;
  }

  CandidateBuilder primary() {
    primary = true;
    return this;
  }

  CandidateBuilder otherZone() {
    return zone(false);
  }

  CandidateBuilder zone(boolean own) {
    ownZone = own;
    return this;
  }

  CandidateBuilder connected(boolean changed) {
    connected = changed;
    return this;
  }

  CandidateBuilder withoutSpareConnection() {
    hasSpareConnection = false;
    return this;
  }

  CandidateBuilder slots(int changed) {
    slots = changed;
    return this;
  }

  CandidateBuilder latencyMillis(double changed) {
    latencyMillis = changed;
    return this;
  }

  CandidateBuilder outstanding(int changed) {
    outstanding = changed;
    return this;
  }

  CandidateBuilder outstandingElsewhere(double changed) {
    outstandingElsewhere = changed;
    return this;
  }

  CandidateBuilder reportedAnswers(double changed) {
    reportedAnswers = changed;
    return this;
  }

  CandidateBuilder share(double changed) {
    share = changed;
    return this;
  }

  CandidateBuilder ejectedFor(Duration changed) {
    ejectedFor = changed;
    return this;
  }

  ServerChoice.Candidate build() {
    return new ServerChoice.Candidate(
        null,
        usable,
        primary,
        ownZone,
        connected,
        hasSpareConnection,
        false,
        slots,
        latencyMillis,
        outstanding,
        outstandingElsewhere,
        reportedAnswers,
        share,
        ejectedFor);
  }
}
