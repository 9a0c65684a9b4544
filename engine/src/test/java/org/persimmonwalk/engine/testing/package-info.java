/** Hand-written fakes of the interfaces that a front end implements, and a fixture with them. */
package org.persimmonwalk.engine.testing;
