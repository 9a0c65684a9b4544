/** Step definitions of the acceptance features. */
package org.persimmonwalk.bench.steps;
