/** Tests that release notes are parsed and that all faults are reported. */
package org.persimmonwalk.internal.operator.note;
