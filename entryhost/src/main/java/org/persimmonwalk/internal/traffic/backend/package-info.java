/** Connections to backend servers. */
package org.persimmonwalk.internal.traffic.backend;
