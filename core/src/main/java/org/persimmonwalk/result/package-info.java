/**
 * The numbered result codes that are reported to callers and operators, and the exception that
 * carries them.
 */
package org.persimmonwalk.result;
