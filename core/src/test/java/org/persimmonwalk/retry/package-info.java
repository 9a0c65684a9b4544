/** Tests of retries and of outcomes after a lost connection. */
package org.persimmonwalk.retry;
