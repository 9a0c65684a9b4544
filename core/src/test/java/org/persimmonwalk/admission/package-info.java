/** Tests of rate limits, access keys and the scheduling of statements. */
package org.persimmonwalk.admission;
