/** Immutable values that controllers and decisions exchange. */
package org.persimmonwalk.model;
