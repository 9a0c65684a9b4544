/** Reads release notes that operators write in YAML. */
package org.persimmonwalk.internal.operator.note;
