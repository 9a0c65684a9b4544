/** Code that several controllers share. Each controller has its own package below this one. */
package org.persimmonwalk.internal.control;
