/** Carries out the commands of the controllers. */
package org.persimmonwalk.internal.execution;
