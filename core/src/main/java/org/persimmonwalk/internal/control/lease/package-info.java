/**
 * Divides the units of a table row between the entry hosts. Each host leases units by a grant in
 * the row, and hosts transfer units between each other by messages.
 *
 * <p>The share controller uses it for the rates of workspaces, and the allowance controller for the
 * connections to backend servers. All of it runs on the control thread.
 */
package org.persimmonwalk.internal.control.lease;
