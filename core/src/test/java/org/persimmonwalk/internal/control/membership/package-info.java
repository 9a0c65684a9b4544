/** Tests of the set of live hosts and of heartbeats. */
package org.persimmonwalk.internal.control.membership;
