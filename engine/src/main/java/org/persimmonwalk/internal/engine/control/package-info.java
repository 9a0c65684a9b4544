/**
 * The controllers that run an entry host: they keep the configuration, the server list and the
 * primaries up to date, replace a failed primary, and take rate-limit tokens. {@code Engine}
 * creates them; all run on the control thread. They read entries and observations of the
 * blackboard, write entries, and submit commands for the store, the platform, the servers and the
 * other hosts.
 */
package org.persimmonwalk.internal.engine.control;
