/** Typed statements, answers and ports of the session engine. */
package org.persimmonwalk.engine;
