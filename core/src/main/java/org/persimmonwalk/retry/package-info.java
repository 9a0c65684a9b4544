/**
 * Decides whether a statement may be retried after a failure, and classifies the outcome of a
 * statement whose backend connection was lost. Traffic threads call it.
 */
package org.persimmonwalk.retry;
