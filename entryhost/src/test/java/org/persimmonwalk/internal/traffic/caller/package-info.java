/** Tests of the PostgreSQL front end. */
package org.persimmonwalk.internal.traffic.caller;
