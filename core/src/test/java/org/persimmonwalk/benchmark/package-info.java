/** Measurements that are run by hand. */
package org.persimmonwalk.benchmark;
