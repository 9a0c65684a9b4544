/** When a caller is told that its write is safe. */
package org.persimmonwalk.acknowledgement;
