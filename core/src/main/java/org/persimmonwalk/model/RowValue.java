package org.persimmonwalk.model;

/** The typed content of a row of the platform's table service. Implementations are immutable. */
public interface RowValue {}
