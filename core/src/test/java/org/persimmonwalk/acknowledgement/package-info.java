/** Tests of acknowledgements. */
package org.persimmonwalk.acknowledgement;
