/** Measurements that no test depends on. */
package org.persimmonwalk.benchmark;
