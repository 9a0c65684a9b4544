/** Tests of the engine without a network. */
package org.persimmonwalk.internal.standin.engine;
