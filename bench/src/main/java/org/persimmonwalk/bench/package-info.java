/** Demo, acceptance tests and benchmarks. */
package org.persimmonwalk.bench;
