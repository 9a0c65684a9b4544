/** Value types for identifiers, so that identifiers of different things cannot be confused. */
package org.persimmonwalk.id;
