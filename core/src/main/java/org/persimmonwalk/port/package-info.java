/** Interfaces to the world outside the control thread. */
package org.persimmonwalk.port;
