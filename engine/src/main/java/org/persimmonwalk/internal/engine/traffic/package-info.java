/** Sessions, connection pools and the choice of servers, on the traffic thread. */
package org.persimmonwalk.internal.engine.traffic;
