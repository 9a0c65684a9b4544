/** What the operators' command line prints, as text or JSON. */
package org.persimmonwalk.internal.operator.output;
