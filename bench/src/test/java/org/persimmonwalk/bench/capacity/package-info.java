/** Tests of the measurements of capacity. */
package org.persimmonwalk.bench.capacity;
