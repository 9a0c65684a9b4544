/**
 * Immutable values that controllers, decisions and the adapters to peers, servers and the platform
 * exchange: the configuration, knowledge of servers and hosts, messages between entry hosts, and
 * the content of stored rows. They may be used on any thread.
 */
package org.persimmonwalk.model;
