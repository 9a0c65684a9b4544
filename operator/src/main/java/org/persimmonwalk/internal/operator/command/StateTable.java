package org.persimmonwalk.internal.operator.command;

import org.persimmonwalk.internal.operator.fleet.FleetView;
import org.persimmonwalk.internal.operator.output.Table;

/** Sums up the answers of the hosts. */
interface StateTable {

  /** Returns the rows to print. */
  Table of(FleetView view);
}
