/** Tests of the admission policies. */
package org.persimmonwalk.admission;
