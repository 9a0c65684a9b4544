/** The controllers of an entry host on the users' platform. */
package org.persimmonwalk.internal.engine.control;
