package org.persimmonwalk.model;

/** A message that entry hosts send to each other. Implementations are immutable. */
public interface PeerMessage {}
