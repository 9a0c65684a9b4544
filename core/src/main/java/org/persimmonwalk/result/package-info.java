/** Numbered result codes and the exception that carries them. */
package org.persimmonwalk.result;
