/** Entries, observations and commands of the control state of an entry host. */
package org.persimmonwalk.engine.control;
