/** Tests of the controllers: whole engines of several hosts on a fake clock, store and servers. */
package org.persimmonwalk.internal.engine.control;
