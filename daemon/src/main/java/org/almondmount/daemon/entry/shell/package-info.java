/**
 * The threads of an entry: duties with bounded rings, a clock and alarms.
 */
package org.almondmount.daemon.entry.shell;
