/** Which statements may run again after a failure. */
package org.persimmonwalk.retry;
