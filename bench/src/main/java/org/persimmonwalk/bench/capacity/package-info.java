/** Measures how the load of an entry host grows with the size of the fleet. */
package org.persimmonwalk.bench.capacity;
