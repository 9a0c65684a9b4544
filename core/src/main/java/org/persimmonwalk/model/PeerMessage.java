package org.persimmonwalk.model;

/** A message between entry hosts; implementations are immutable. */
public interface PeerMessage {}
