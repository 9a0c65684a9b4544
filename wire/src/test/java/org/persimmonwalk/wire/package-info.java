/** Tests of the PostgreSQL message codec. */
package org.persimmonwalk.wire;
