/** Tests of the database engine that call it directly, without a network. */
package org.persimmonwalk.internal.standin.engine;
