/** Tests of several controllers together. */
package org.persimmonwalk.internal.control;
