/**
 * Publishes the valid and the withdrawn caller keys, against which the key policy checks callers.
 */
package org.persimmonwalk.internal.control.key;
