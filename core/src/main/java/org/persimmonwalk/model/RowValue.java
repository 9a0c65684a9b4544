package org.persimmonwalk.model;

/** The typed value of a row of the platform's table service. */
public interface RowValue {}
