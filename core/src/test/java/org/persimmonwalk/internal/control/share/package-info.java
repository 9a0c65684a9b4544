/** Tests of workspace shares. */
package org.persimmonwalk.internal.control.share;
