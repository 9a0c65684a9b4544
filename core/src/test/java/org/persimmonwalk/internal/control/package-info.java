/** Tests that run several controllers together under random faults. */
package org.persimmonwalk.internal.control;
