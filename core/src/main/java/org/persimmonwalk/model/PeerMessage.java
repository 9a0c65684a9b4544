package org.persimmonwalk.model;

/** A typed message between entry hosts. */
public interface PeerMessage {}
