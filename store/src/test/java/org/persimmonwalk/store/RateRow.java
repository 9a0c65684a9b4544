package org.persimmonwalk.store;

import org.persimmonwalk.model.RowValue;

/** Row content of the tests. */
record RateRow(int rate) implements RowValue {}
