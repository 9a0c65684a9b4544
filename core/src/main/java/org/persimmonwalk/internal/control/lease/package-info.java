/**
 * Divides the units of a table row between entry hosts by leases and transfers; used for the rates
 * of workspaces and for the connections of backend servers.
 */
package org.persimmonwalk.internal.control.lease;
