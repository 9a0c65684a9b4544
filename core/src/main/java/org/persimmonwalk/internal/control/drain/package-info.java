/**
 * The controller that decides when the host starts to serve callers and when a planned stop is
 * complete. It runs on the control thread.
 */
package org.persimmonwalk.internal.control.drain;
