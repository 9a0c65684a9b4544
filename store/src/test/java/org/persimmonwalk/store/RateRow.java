package org.persimmonwalk.store;

import org.persimmonwalk.model.RowValue;

/** Row content for tests. */
record RateRow(int rate) implements RowValue {}
