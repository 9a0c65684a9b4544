/** Release notes: the changes that operators submit, their merge and their publication. */
package org.persimmonwalk.release;
