/** Messages between entry hosts. */
package org.persimmonwalk.peer;
