/** When a group gets a new primary, and which servers are told to follow it. */
package org.persimmonwalk.internal.control.primary;
