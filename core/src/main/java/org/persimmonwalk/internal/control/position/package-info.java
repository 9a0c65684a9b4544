/**
 * Controllers that probe the backend servers and derive from the samples each group's primary, its
 * confirmed positions and what each replica has replayed. They run on the control thread.
 */
package org.persimmonwalk.internal.control.position;
