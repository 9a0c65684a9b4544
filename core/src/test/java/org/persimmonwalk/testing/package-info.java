/** Fakes that the tests of several packages share. */
package org.persimmonwalk.testing;
