/** Tests of the PostgreSQL codec. */
package org.persimmonwalk.wire;
