/** Tests of the release note reader. */
package org.persimmonwalk.internal.operator.note;
