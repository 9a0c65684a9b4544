/** Tests of the stand-ins over the PostgreSQL protocol and HTTP. */
package org.persimmonwalk.standin;
