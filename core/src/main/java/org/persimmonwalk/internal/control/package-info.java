/** Helpers that the controllers share. */
package org.persimmonwalk.internal.control;
