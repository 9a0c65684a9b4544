/** Tests of promotions. */
package org.persimmonwalk.internal.control.primary;
