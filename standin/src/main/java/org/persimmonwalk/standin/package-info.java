/** Stand-ins of backend servers and of the platform for tests and the demo. */
package org.persimmonwalk.standin;
