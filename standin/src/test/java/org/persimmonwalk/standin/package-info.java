/** Tests of the stand-ins through their protocols. */
package org.persimmonwalk.standin;
