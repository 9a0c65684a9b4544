/** Which caller keys are valid. */
package org.persimmonwalk.internal.control.key;
