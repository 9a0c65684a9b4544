/** Tests of the capacity benchmark. */
package org.persimmonwalk.bench.capacity;
