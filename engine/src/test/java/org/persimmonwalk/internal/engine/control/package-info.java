/** Tests of the controllers on a fake store. */
package org.persimmonwalk.internal.engine.control;
