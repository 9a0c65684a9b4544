/** The PostgreSQL v3 front end of the stand-in's engine. */
package org.persimmonwalk.internal.standin.protocol;
