/** Tests of the engine's public types. */
package org.persimmonwalk.engine;
