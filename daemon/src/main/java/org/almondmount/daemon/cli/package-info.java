/**
 * The command line: the daemons, and commands for callers and operators.
 */
package org.almondmount.daemon.cli;
