/** Acceptance, golden and differential tests of whole sessions. */
package org.persimmonwalk.bench;
