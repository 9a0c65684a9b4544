/** Tests of the acknowledgement of writes. */
package org.persimmonwalk.acknowledgement;
