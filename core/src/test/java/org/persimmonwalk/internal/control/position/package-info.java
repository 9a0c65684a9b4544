/** Tests of the probes of backend servers and of the group views derived from them. */
package org.persimmonwalk.internal.control.position;
