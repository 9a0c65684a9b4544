/** Tests of the connections between entry hosts. */
package org.persimmonwalk.internal.peer;
