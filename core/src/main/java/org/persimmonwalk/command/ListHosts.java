package org.persimmonwalk.command;

import org.persimmonwalk.blackboard.Command;

/** Reads the platform's host list. */
public record ListHosts() implements Command {}
