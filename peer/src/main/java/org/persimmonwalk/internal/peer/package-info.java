/** Connections between entry hosts. */
package org.persimmonwalk.internal.peer;
