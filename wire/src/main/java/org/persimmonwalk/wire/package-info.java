/** The PostgreSQL v3 protocol, shared by callers, backend servers and stand-ins. */
package org.persimmonwalk.wire;
