/**
 * The types of an entry host's control state: the entries of the blackboard, the observations that
 * ports and the traffic thread post, and the commands that controllers submit to the ports. Read
 * and written on the control thread; the traffic thread reads snapshots of the entries.
 */
package org.persimmonwalk.engine.control;
