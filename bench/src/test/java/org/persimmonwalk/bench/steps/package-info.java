/** Steps of the acceptance features. */
package org.persimmonwalk.bench.steps;
