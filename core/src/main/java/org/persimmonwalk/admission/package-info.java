/** Which statements a workspace may run now, and in which order they run. */
package org.persimmonwalk.admission;
