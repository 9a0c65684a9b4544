package org.persimmonwalk.internal.operator.command;

import org.persimmonwalk.internal.operator.fleet.FleetView;
import org.persimmonwalk.internal.operator.output.Table;

/** Summarizes the reports of the hosts in a table. */
interface StateTable {

  /** Returns the table for the reports in the view. */
  Table of(FleetView view);
}
