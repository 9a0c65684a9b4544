/**
 * Interfaces between the control logic and what lies outside it: the platform, peers, clocks,
 * random numbers and the execution of commands. Tests use fakes of them.
 */
package org.persimmonwalk.port;
