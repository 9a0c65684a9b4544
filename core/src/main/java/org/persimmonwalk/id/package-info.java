/** Value types for identifiers. */
package org.persimmonwalk.id;
