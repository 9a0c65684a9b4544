/** Tests of admission decisions. */
package org.persimmonwalk.admission;
