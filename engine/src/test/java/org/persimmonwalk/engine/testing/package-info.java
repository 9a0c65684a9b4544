/** Fakes of the engine's ports, written by hand. */
package org.persimmonwalk.engine.testing;
